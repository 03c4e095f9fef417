// Each package may import only from packages listed before it, which keeps decision logic free of sockets and timers.
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
	'zones',
	'forecast',
	'pace',
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

const purePackages = new Set(['core', 'configuration', 'placement', 'routing', 'limits', 'execution', 'reservations', 'membership', 'jobs', 'zones', 'forecast', 'pace', 'scheduling', 'supervision', 'protocol', 'recovery']);

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
			// Immutable's collections are created by calls without new.
			'new-cap': ['error', {newIsCap: true, capIsNewExceptions: ['PersistentMap', 'PersistentSet']}],
			// This project uses read-only data and exhaustive switches, with which these rules conflict.
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-null': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prefer-top-level-await': 'off',
			// Steps that must run in sequence, such as calls to one peer, are awaited in loops on purpose.
			'no-await-in-loop': 'off',
			// The Node resolver does not know subpath imports of TypeScript files; the type checker verifies imports.
			'import-x/no-unresolved': 'off',
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			// The rule treats subpath imports of the project's own packages as unresolved and orders them last.
			'import-x/order': 'off',
			// Plug-ins register themselves when their file is imported.
			'import-x/no-unassigned-import': 'off',
			// Stop functions set loop flags from outside the loop, which the rule does not detect.
			'no-unmodified-loop-condition': 'off',
			// The v flag requires a newer language target than that of the Node 20 bundles.
			'require-unicode-regexp': 'off',
			'@stylistic/curly-newline': 'off',
			'@stylistic/operator-linebreak': ['error', 'before', {overrides: {'=': 'after'}}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// HTTP headers, environment variables and metric labels follow other naming conventions.
			'@typescript-eslint/naming-convention': 'off',
			// JSON-RPC and schema libraries have loose types at the boundary, where schemas validate the values.
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			// Exhaustive switches end in assertNever.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true}],
			// Index files re-export both types and values of their package.
			'@typescript-eslint/consistent-type-exports': 'off',
			// Records of named ports and parameters are accessed by key.
			'@typescript-eslint/dot-notation': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unused-expressions': 'off',
			'max-nested-callbacks': 'off',
			// Table cases share fixtures that hooks set up.
			'@typescript-eslint/no-loop-func': 'off',
		},
	},
	{
		files: ['packages/kernel/program.ts'],
		rules: {
			// Open connections must not keep a drained daemon alive.
			'unicorn/no-process-exit': 'off',
		},
	},
	...importBoundaries,
];
