import {test} from 'node:test';
import {expect} from 'earl';
import {atMost} from '../results/at_most.js';
import {findValue} from '../results/find_value.js';

test('a value that was not measured meets no bound', () => {
  const rows = [
    {policy: 'figfall', metric: 'lost', value: 2, unit: 'requests'},
  ];
  const unmeasured = findValue(rows, 'figfall', 'late');
  expect(atMost('late', unmeasured, 10).met).toEqual(false);
  expect(findValue(rows, 'figfall', 'lost')).toEqual(2);
});
