import {readFileSync} from 'node:fs';
import {parse} from 'yaml';
import {checkDocument, type Document} from '../src/internal.js';

/** Loads the example document of a deployment; throws if it is invalid. */
export function loadExample(deployment: string): Document {
  const url = new URL(
    `../../examples/${deployment}/document.yaml`,
    import.meta.url,
  );
  const checked = checkDocument(parse(readFileSync(url, 'utf8')));
  if (!checked.ok) throw new Error(checked.faults.join('; '));
  return checked.value;
}
