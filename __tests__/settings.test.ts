import test from 'ava';
import {parseSettings} from '../src/daemon/settings.js';

const GOOD = `id: catalogue-1
dataCentre: north
region: main
service: catalogue
listen:
  customerPort: 7001
  peerPort: 7002
  adminPort: 7003
upstream:
  url: http://127.0.0.1:8001
platform:
  configUrl: http://127.0.0.1:9001
  listUrl: http://127.0.0.1:9002
peerKey: 0123456789abcdef
`;

test('complete settings pass and get their defaults', t => {
  const checked = parseSettings(GOOD, 'a.yaml');
  t.snapshot(checked);
});

const FAULTY: Record<string, string> = {
  'unknown key': GOOD + 'colour: red\n',
  'port given as text': GOOD.replace('7001', '"7001"'),
  'duration with a unit': GOOD + 'log: {level: info, every: 5s}\n',
  'short peer key': GOOD.replace('0123456789abcdef', 'short'),
  'equal ports': GOOD.replace('7003', '7002'),
  'wildcard without an advertised address': GOOD.replace(
    'listen:',
    'listen:\n  host: 0.0.0.0',
  ),
  'upstream is the daemon itself': GOOD.replace('8001', '7001'),
  'broken YAML': GOOD + 'log: [info',
  'empty file': '',
};

for (const [name, text] of Object.entries(FAULTY)) {
  test(`refused at start with file, line and path: ${name}`, t => {
    const checked = parseSettings(text, 'a.yaml');
    t.false(checked.ok);
    t.snapshot(checked);
  });
}
