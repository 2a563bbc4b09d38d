import {readdirSync, readFileSync} from 'node:fs';
import test from 'ava';
import {parseScenario} from '../standins/scenario.js';
import {runScenario} from './support/scenario_runner.js';

const DIRECTORY = new URL('../../scenarios/', import.meta.url);

function load(file: string) {
  return parseScenario(readFileSync(new URL(file, DIRECTORY), 'utf8'));
}

const files = readdirSync(DIRECTORY).filter(file => file.endsWith('.yaml'));

for (const file of files.sort()) {
  const scenario = load(file);
  test(`${scenario.title} (${file})`, t => {
    t.notThrows(() => runScenario(scenario));
  });
}

const VALID = `
title: A minimal valid scenario
given: {document: deployment-1, dataCentres: [howrah], services: {catalogue: 1}}
steps:
  - expect: {inForce: 1}
`;

test('a mistake in a scenario file is an error', t => {
  const change = (from: string, to: string) => () =>
    parseScenario(VALID.replace(from, to));
  t.notThrows(change('', ''));
  t.throws(change('inForce', 'inforce'), {message: /steps\.0\.expect/});
  t.throws(change('expect', 'expects'), {message: /exactly one key/});
  t.throws(change('{inForce: 1}', '{inForce: 1, within: 6}'), {
    message: /within/,
  });
  t.throws(
    () => runScenario(parseScenario(VALID.replace('inForce: 1', 'inForce: 2'))),
    {
      message: /step 1 \(expect\).*howrah-0 serves 1, not 2/,
    },
  );
  const unknown = VALID.replace('{inForce: 1}', '{at: delhi, inForce: 1}');
  t.throws(() => runScenario(parseScenario(unknown)), {message: /delhi/});
  t.throws(() => runScenario(parseScenario(VALID.replace('inForce: 1', ''))), {
    message: /nothing is expected/,
  });
});
