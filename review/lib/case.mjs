// Frame of one case: record, time limit and exit code.
import {openRecord} from './record.mjs';

/** Longest run of a case, ms; it then counts as one that could not run. */
const LIMIT_MS = 110_000;

/** True unless TROUBLE=0: the disruption is applied. */
export const TROUBLE = process.env.TROUBLE !== '0';

/**
 * Runs a case. `body(record, onClose)` resolves to a list of texts, one for
 * each broken rule; functions given to `onClose` run at the end. Exits with 1
 * if a rule was broken, 0 if none, 2 if the case could not run.
 */
export async function runCase(recordFile, body) {
  const record = openRecord(recordFile);
  const closers = [];
  let code = 2;
  let finishing = false;
  const finish = async () => {
    if (finishing) return;
    finishing = true;
    for (const close of closers.reverse()) await close();
    record.write('script', `exit code ${code}`);
    await record.close();
    process.exit(code);
  };
  const limit = setTimeout(() => {
    record.write('script', 'time limit reached');
    void finish();
  }, LIMIT_MS);
  const fail = err => {
    record.write('script', `could not run: ${err.stack ?? err}`);
    void finish();
  };
  process.on('uncaughtException', fail);
  process.on('unhandledRejection', fail);
  for (const name of ['SIGTERM', 'SIGINT']) {
    process.on(name, () => fail(new Error(`ended by ${name}`)));
  }
  try {
    record.write(
      'script',
      TROUBLE ? 'with the disruption' : 'without the disruption',
    );
    const broken = await body(record, close => closers.push(close));
    for (const text of broken) {
      record.write('check', text);
      console.log(text);
    }
    code = broken.length > 0 ? 1 : 0;
  } catch (err) {
    record.write('script', `could not run: ${err.message}`);
    console.log(`could not run: ${err.message}`);
  }
  clearTimeout(limit);
  await finish();
}
