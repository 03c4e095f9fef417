/** Release version; a test checks that it matches package.json. */
export const version = '0.1.0';
