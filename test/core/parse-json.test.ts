import {expect} from 'chai';
import * as fastCheck from 'fast-check';
import {parseBoundedJson} from '#core';

type Case = Readonly<{name: string; text: string; isAccepted: boolean}>;

const maximum = 5;

const cases: readonly Case[] = [
	{
		name: 'values up to the maximum are parsed (job refused without need)', text: '{"a":[1,2,3]}', isAccepted: true,
	},
	{
		name: 'more values are refused before they are made (memory for values that no schema accepts)', text: '[{},{},{}]', isAccepted: false,
	},
	{
		name: 'what strings hold does not count (specification refused for its commas)', text: String.raw`["a,b,[{c,d,\",e,[\\"]`, isAccepted: true,
	},
	{
		name: 'values after an escaped quotation mark count (limit avoided by a string)', text: String.raw`["\"",1,2,3,4,5]`, isAccepted: false,
	},
	{
		name: 'nested openings count (memory for nested arrays)', text: '[[[[[[]]]]]]', isAccepted: false,
	},
];

describe('parsing of a bounded number of values', () => {
	for (const {name, text, isAccepted} of cases) {
		it(name, () => {
			if (isAccepted) {
				expect(parseBoundedJson(text, maximum)).to.deep.equal(JSON.parse(text));
			} else {
				expect(() => parseBoundedJson(text, maximum)).to.throw('more than 5 values');
			}
		});
	}

	it('any text with enough room is parsed as before (valid body refused)', () => {
		fastCheck.assert(fastCheck.property(fastCheck.json({maxDepth: 5}), text => {
			expect(parseBoundedJson(text, text.length + 1)).to.deep.equal(JSON.parse(text));
		}));
	});
});
