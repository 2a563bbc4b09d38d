import {parseArgs} from 'node:util';
import * as z from 'zod';
import {createConfigService} from './config_service.js';
import {
  createConfigCommands,
  createControlPort,
  createListCommands,
  createUpstreamCommands,
  type CommandHandler,
} from './control_port.js';
import {createInstanceList} from './instance_list.js';
import {createUpstream} from './upstream.js';

// Runs one stand-in in a process of its own:
//   node dist/standins/run.js KIND --port N --control N --options JSON
// Prints one JSON line {url, controlUrl} once it is listening.

const PORT_SCHEMA = z.coerce.number().int().min(0).max(65_535).default(0);
const POSITIVE_SCHEMA = z.number().positive();
const configOptionsSchema = z.strictObject({
  callsPerSecond: POSITIVE_SCHEMA.optional(),
  indexStep: z.int().min(1).optional(),
});
const listOptionsSchema = z.strictObject({lagMs: z.number().min(0).optional()});
const upstreamOptionsSchema = z.strictObject({
  id: z.string(),
  slots: z.int().min(1).optional(),
  connections: z.int().min(1).optional(),
  connectionCostMs: z.number().min(0).optional(),
  serviceMs: z.number().min(0).optional(),
  lagMs: z.number().min(0).optional(),
  restartMs: z.number().min(0).optional(),
  cold: z
    .strictObject({
      slots: z.int().min(1),
      slowdown: z.number().min(1),
      warmAfterRuns: z.int().min(0),
      fallOverAt: z.int().min(1),
    })
    .partial()
    .optional(),
});

interface StandIn {
  listen(port?: number): Promise<string>;
  close(): Promise<void>;
}

const STAND_INS: Record<
  string,
  (options: unknown) => [StandIn, CommandHandler]
> = {
  'config-service': options => {
    const service = createConfigService(configOptionsSchema.parse(options));
    return [service, createConfigCommands(service)];
  },
  'instance-list': options => {
    const list = createInstanceList(listOptionsSchema.parse(options));
    return [list, createListCommands(list)];
  },
  upstream: options => {
    const upstream = createUpstream(upstreamOptionsSchema.parse(options));
    return [upstream, createUpstreamCommands(upstream)];
  },
};

async function main(): Promise<void> {
  const {values, positionals} = parseArgs({
    allowPositionals: true,
    options: {
      port: {type: 'string'},
      control: {type: 'string'},
      options: {type: 'string', default: '{}'},
    },
  });
  const kind = positionals[0] ?? '';
  if (!Object.hasOwn(STAND_INS, kind)) {
    throw new Error(`kind must be one of ${Object.keys(STAND_INS).join(', ')}`);
  }
  const [standIn, execute] = STAND_INS[kind](JSON.parse(values.options));
  const control = createControlPort(execute);
  const url = await standIn.listen(PORT_SCHEMA.parse(values.port));
  const controlUrl = await control.listen(PORT_SCHEMA.parse(values.control));
  process.stdout.write(`${JSON.stringify({url, controlUrl})}\n`);
  const stop = () => {
    void Promise.all([standIn.close(), control.close()]);
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

main().catch((err: unknown) => {
  process.stderr.write(`${err instanceof Error ? err.message : err}\n`);
  process.exitCode = 2;
});
