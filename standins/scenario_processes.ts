import {readFileSync} from 'node:fs';
import {createCustomer} from './customer.js';
import {findUsedNames, parseScenario} from './scenario.js';
import {UNSUPPORTED_ON_PROCESSES, runOnProcesses} from './scenario_fleet.js';

// Runs scenario files on separate processes, in real time:
//   node dist/standins/scenario_processes.js scenarios/take_out.yaml ...

async function main(files: readonly string[]): Promise<void> {
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(1));
  }
  const customer = createCustomer();
  for (const file of files) {
    const scenario = parseScenario(readFileSync(file, 'utf8'));
    const missing = findUsedNames(scenario, UNSUPPORTED_ON_PROCESSES);
    if (missing.length > 0) {
      process.stdout.write(`skip ${file}: ${missing.join(', ')}\n`);
      continue;
    }
    try {
      await runOnProcesses(scenario, customer);
      process.stdout.write(`ok   ${file}: ${scenario.title}\n`);
    } catch (err) {
      process.exitCode = 1;
      const reason = err instanceof Error ? err.message : String(err);
      process.stdout.write(`FAIL ${file}: ${reason}\n`);
    }
  }
  await customer.close();
}

await main(process.argv.slice(2));
