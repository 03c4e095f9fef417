/** Starts the project's programs with the commands and the environment of the deploy file. */
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';

const repository = new URL('../../', import.meta.url).pathname;

/** Reads the roles of the deploy file: texts and their tables, which is all that the roles use. */
function readRoles() {
	const roles = {};
	let table = {};
	for (const line of readFileSync(`${repository}deploy/system.toml`, 'utf8').split('\n')) {
		const heading = /^\[roles\.(\w+)(\.env)?]$/.exec(line.trim());
		if (heading !== null) {
			roles[heading[1]] ??= {env: {}};
			table = heading[2] === undefined ? roles[heading[1]] : roles[heading[1]].env;
			continue;
		}

		const setting = /^(\w+) = "(.*)"$/.exec(line.trim());
		if (setting !== null) {
			table[setting[1]] = setting[2];
		}
	}

	return roles;
}

/** Fills in the placeholders of a text; a missing value becomes an empty text. */
function fill(text, values) {
	return text.replaceAll(/{{([\w.]+)}}/g, (_, path) => {
		let value = values;
		for (const name of path.split('.')) {
			value = value?.[name];
		}

		return value === undefined ? '' : String(value);
	});
}

/** Starts a role; `values` are the fields of the settings of its machine. Resolves once it says that it is ready. */
export async function startProgram(role, values, register) {
	const {run, env} = readRoles()[role];
	const [command, ...parameters] = run.split(' ').map(word => fill(word, values));
	const environment = Object.fromEntries(Object.entries(env).map(([name, text]) => [name, fill(text, values)]));
	const child = spawn(command === 'node' ? process.execPath : command, parameters, {
		cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, ...environment}, stdio: ['ignore', 'pipe', 'pipe'],
	});
	register(child);
	child.stderr.resume();
	await new Promise((resolve, reject) => {
		let text = '';
		child.stdout.on('data', chunk => {
			text = text.length > 100_000 ? text : text + chunk;
			if (/"ready":\s*true/.test(text)) {
				resolve();
			}
		});
		child.once('exit', code => {
			reject(new Error(`${role} exited with ${code} before it was ready`));
		});
	});
	return child;
}
