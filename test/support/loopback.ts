import process from 'node:process';

const processesPerOctet = 250;

/**
Returns an address of the loopback range that no other running process of tests or soaks uses, so that they do not share ports.

@example
```
loopbackHost(0); // In the process 1234:
//=> '127.235.4.1'
```
*/
export function loopbackHost(index: number): string {
	return `127.${1 + (process.pid % processesPerOctet)}.${Math.floor(process.pid / processesPerOctet) % processesPerOctet}.${index + 1}`;
}
