/** Version of the release, kept equal to package.json by a test. */
export const version = '0.1.0';
