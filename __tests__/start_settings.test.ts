import {renameSync, rmSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {followSettings} from '../platform/settings.js';
import {createDaemonSettings} from '../soak/daemons.js';
import {
  createDirectory,
  MAIN_FILE,
  startProcess,
} from './support/daemon_process.js';

/** Creates valid settings on an address on which no other test listens. */
function createSettings(number: number): object {
  const host = `127.81.${(process.pid >> 1) & 127}.${number}`;
  return createDaemonSettings('d0', host, 'z1', 's', []);
}

/** Starts a daemon whose settings file has a text; undefined for no file. */
function startWith(t: ExecutionContext, text: string | undefined) {
  const file = join(createDirectory(t), 'node.json');
  if (text !== undefined) writeFileSync(file, text);
  const daemon = startProcess(t, [MAIN_FILE], file);
  const replace = (value: object): void => {
    writeFileSync(`${file}.new`, JSON.stringify(value));
    renameSync(`${file}.new`, file);
  };
  return {...daemon, file, replace};
}

const VALID = JSON.stringify(createSettings(1));

const FAULTY: Record<string, {text?: string; field?: string; reason: RegExp}> =
  {
    absent: {reason: /ENOENT/},
    empty: {text: '', reason: /JSON/},
    'cut in half': {text: VALID.slice(0, VALID.length / 2), reason: /JSON/},
    null: {text: 'null', reason: /expected an object/},
    'of wrong types': {
      text: VALID.replace(/"127[^"]*:18101"/, '5'),
      field: 'network.listen.outbound',
      reason: /number/,
    },
  };

for (const [i, [state, fault]] of Object.entries(FAULTY).entries()) {
  // A file that was not whole at the start ended the process, and nothing in the
  // log named the reason.
  test(`a daemon whose settings file is ${state} waits for it`, async t => {
    const daemon = startWith(t, fault.text);
    const line = await daemon.waitForLine('settingsInvalid');
    t.is(line['file'], daemon.file);
    t.is(line['field'], fault.field);
    t.regex(String(line['reason']), fault.reason);
    daemon.replace(createSettings(i + 2));
    const started = await daemon.waitForLine('started');
    t.is(started['id'], 'd0');
  });
}

// A file of zero bytes that stays would fill the log with one line per attempt.
test('one reason is logged once, another one again', async t => {
  const daemon = startWith(t, '');
  await daemon.waitForLine('settingsInvalid');
  // Each SIGHUP causes one more attempt; the next reason marks that they are over.
  for (let i = 0; i < 5; i++) {
    daemon.child.kill('SIGHUP');
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  daemon.replace([]);
  const isField = (line: object) => 'field' in line;
  while (!daemon.lines.some(isField)) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const faults = daemon.lines.filter(
    ({decision}) => decision === 'settingsInvalid',
  );
  t.deepEqual(
    faults.map(({field}) => field),
    [undefined, 'self.node'],
  );
});

// A stop while the settings were invalid had to wait for a file that may never come.
test('a daemon that waits for its settings ends in order on SIGTERM', async t => {
  const daemon = startWith(t, undefined);
  await daemon.waitForLine('settingsInvalid');
  daemon.child.kill('SIGTERM');
  const {starting} = await daemon.waitForLine('stopped');
  t.true(starting);
  t.deepEqual(await daemon.ended, [0, null]);
});

// A file that became faulty again right after it was read would be taken for the
// one in use if the first text of the start were kept.
test('the follower compares with the text that was valid', async t => {
  const daemon = startWith(t, '{');
  await daemon.waitForLine('settingsInvalid');
  daemon.replace(createSettings(20));
  await daemon.waitForLine('started');
  writeFileSync(daemon.file, '{');
  daemon.child.kill('SIGHUP');
  await t.notThrowsAsync(daemon.waitForLine('reloadFailed'));
  t.false(daemon.lines.some(({decision}) => decision === 'reloaded'));
});

// A file that stayed away was reported at each look, every two seconds.
test('a running daemon reports a fault of its file once', t => {
  const file = join(createDirectory(t), 'node.json');
  const faults: string[] = [];
  const {check, stop} = followSettings(file, VALID, change => {
    faults.push(change.ok ? 'none' : change.error.message);
  });
  t.teardown(stop);
  for (let i = 0; i < 3; i++) check();
  writeFileSync(file, '{');
  for (let i = 0; i < 3; i++) check();
  writeFileSync(file, VALID);
  check();
  rmSync(file);
  check();
  t.is(faults.length, 4);
  t.regex(faults[0], /ENOENT/);
  t.regex(faults[1], /JSON/);
  t.is(faults[2], 'none');
  t.regex(faults[3], /ENOENT/);
});

// A variable can't change in a running process, so waiting would hide the fault.
test('a start without the variable of the settings file ends', async t => {
  const {ended} = startProcess(t, [MAIN_FILE], '');
  t.deepEqual(await ended, [1, null]);
});

// The check is run by people and scripts, who need an answer.
test('check ends with code 1 for an invalid file', async t => {
  const file = join(createDirectory(t), 'node.json');
  writeFileSync(file, '{');
  t.deepEqual(await startProcess(t, [MAIN_FILE, 'check', file], file).ended, [
    1,
    null,
  ]);
  rmSync(file);
  t.deepEqual(await startProcess(t, [MAIN_FILE, 'check', file], file).ended, [
    1,
    null,
  ]);
});
