// Each package imports only from packages named before it, so that decisions stay free of sockets and timers.
const packagesInOrder = [
	'core',
	'configuration',
	'placement',
	'routing',
	'limits',
	'execution',
	'reservations',
	'membership',
	'jobs',
	'scheduling',
	'supervision',
	'protocol',
	'recovery',
	'kernel',
	'transport',
	'store',
	'entry',
	'agent',
	'coordinator',
	'supervisor',
	'client',
	'command-line',
	'stand-ins',
];

const purePackages = new Set(['core', 'configuration', 'placement', 'routing', 'limits', 'execution', 'reservations', 'membership', 'jobs', 'scheduling', 'supervision', 'protocol', 'recovery']);

const ambientSources = [
	{name: 'Date', message: 'Take the present time as an argument.'},
	{name: 'setTimeout', message: 'Return an effect that schedules a message.'},
	{name: 'setInterval', message: 'Return an effect that schedules a message.'},
	{name: 'process', message: 'Take settings as an argument.'},
	{name: 'performance', message: 'Take the present time as an argument.'},
];

const importBoundaries = packagesInOrder.map((name, index) => ({
	files: [`packages/${name}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: [{
				group: ['#platform/*', '**/platform/**', ...packagesInOrder.slice(index).map(later => `#${later}`), ...(purePackages.has(name) ? ['node:*', 'ws', 'undici', 'xstate', 'bunyan'] : [])],
				message: `packages/${name} may only import from packages below it.`,
			}],
		}],
		...(purePackages.has(name) ? {'no-restricted-globals': ['error', ...ambientSources]} : {}),
	},
}));

export default [
	{
		ignores: ['dist/**', 'target/**', '**/generated/**'],
	},
	{
		rules: {
			// Read-only data and exhaustive switches are the house style; these rules ask for the opposite or for less.
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-null': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prefer-top-level-await': 'off',
			// Sequential steps against one peer are awaited in order on purpose.
			'no-await-in-loop': 'off',
			// The Node resolver does not know subpath imports of TypeScript files; the type checker verifies imports.
			'import-x/no-unresolved': 'off',
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			// Subpath imports are the project's own packages; the rule takes them for unresolved ones and orders them last.
			'import-x/order': 'off',
			// Plug-ins register themselves when their file is imported.
			'import-x/no-unassigned-import': 'off',
			// A task's stop function sets the flag from outside the loop, which the rule does not see.
			'no-unmodified-loop-condition': 'off',
			// The v flag needs a later language target than Node 20 bundles use.
			'require-unicode-regexp': 'off',
			'@stylistic/curly-newline': 'off',
			'@stylistic/operator-linebreak': ['error', 'before', {overrides: {'=': 'after'}}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// HTTP headers, environment variables and metric labels have names of their own.
			'@typescript-eslint/naming-convention': 'off',
			// JSON-RPC and schema libraries are typed loosely at the edge; values are checked by schemas there.
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			// Exhaustive switches end in assertNever.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true}],
			// An index file exports whatever its package has, types or values.
			'@typescript-eslint/consistent-type-exports': 'off',
			// Records of named ports and parameters are read by key.
			'@typescript-eslint/dot-notation': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
			'max-nested-callbacks': 'off',
			// Cases of a table share the fixture that a hook sets up.
			'@typescript-eslint/no-loop-func': 'off',
		},
	},
	{
		files: ['packages/kernel/program.ts'],
		rules: {
			// Open connections of a drained daemon must not keep the process alive.
			'unicorn/no-process-exit': 'off',
		},
	},
	...importBoundaries,
];
