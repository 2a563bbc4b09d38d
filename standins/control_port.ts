import type {IncomingMessage, ServerResponse} from 'node:http';
import * as z from 'zod';
import {memberSchema} from '../src/internal.js';
import type {ConfigService} from './config_service.js';
import {createHttpServer, sendJson, type HttpServer} from './http_server.js';
import type {InstanceList} from './instance_list.js';
import type {Upstream} from './upstream.js';

const MAX_COMMAND_BYTES = 2_000_000;
const DURATION_MS_SCHEMA = z.number().min(0).max(3_600_000);

/** Schema of the modes of the configuration service. */
export const sourceModeSchema = z.discriminatedUnion('kind', [
  z.strictObject({kind: z.literal('up')}),
  z.strictObject({
    kind: z.literal('down'),
    how: z.enum(['reset', 'error', 'silent']).default('reset'),
  }),
  z.strictObject({kind: z.literal('stale'), index: z.int().min(0)}),
  z.strictObject({kind: z.literal('slow'), delayMs: DURATION_MS_SCHEMA}),
  z.strictObject({kind: z.literal('backwards'), by: z.int().min(1)}),
]);

/** Executes a command; throws a ZodError or RangeError if it is invalid. */
export type CommandHandler = (raw: unknown) => unknown;

/** Creates the control commands of a configuration service. */
export function createConfigCommands(service: ConfigService): CommandHandler {
  const schema = z.discriminatedUnion('command', [
    z.strictObject({
      command: z.literal('publish'),
      kind: z.string().max(32),
      value: z.unknown(),
    }),
    z.strictObject({command: z.literal('mode'), mode: sourceModeSchema}),
    z.strictObject({
      command: z.literal('dropBefore'),
      index: z.int().min(0),
    }),
    z.strictObject({command: z.literal('restore'), index: z.int().min(0)}),
    z.strictObject({command: z.literal('state')}),
  ]);
  return raw => {
    const cmd = schema.parse(raw);
    if (cmd.command === 'publish') return service.publish(cmd.kind, cmd.value);
    if (cmd.command === 'mode') service.setMode(cmd.mode);
    if (cmd.command === 'dropBefore') service.series.dropBefore(cmd.index);
    if (cmd.command === 'restore') service.series.restore(cmd.index);
    const {series, counts} = service;
    return {index: series.index(), mode: series.mode(), counts};
  };
}

/** Creates the control commands of an instance list. */
export function createListCommands(list: InstanceList): CommandHandler {
  const id = z.string().max(63);
  const schema = z.discriminatedUnion('command', [
    z.strictObject({command: z.literal('register'), record: memberSchema}),
    z.strictObject({command: z.literal('leaving'), id}),
    z.strictObject({command: z.literal('remove'), id}),
    z.strictObject({command: z.literal('lag'), lagMs: DURATION_MS_SCHEMA}),
    z.strictObject({command: z.literal('down'), down: z.boolean()}),
    z.strictObject({command: z.literal('state')}),
  ]);
  return raw => {
    const cmd = schema.parse(raw);
    if (cmd.command === 'register') list.register(cmd.record);
    if (cmd.command === 'leaving') list.markLeaving(cmd.id);
    if (cmd.command === 'remove') list.remove(cmd.id);
    if (cmd.command === 'lag') list.setLag(cmd.lagMs);
    if (cmd.command === 'down') list.setDown(cmd.down);
    return {instances: list.read(), counts: list.counts};
  };
}

/** Creates the control commands of an upstream. */
export function createUpstreamCommands(upstream: Upstream): CommandHandler {
  const schema = z.discriminatedUnion('command', [
    z.strictObject({command: z.literal('drain'), on: z.boolean()}),
    z.strictObject({command: z.literal('stall'), on: z.boolean()}),
    z.strictObject({command: z.literal('chill')}),
    z.strictObject({
      command: z.literal('health'),
      status: z.string().max(32).optional(),
    }),
    z.strictObject({command: z.literal('crash')}),
    z.strictObject({command: z.literal('restart')}),
    z.strictObject({command: z.literal('ledger')}),
    z.strictObject({command: z.literal('state')}),
  ]);
  return async raw => {
    const cmd = schema.parse(raw);
    if (cmd.command === 'drain') upstream.drain(cmd.on);
    if (cmd.command === 'stall') upstream.stall(cmd.on);
    if (cmd.command === 'chill') upstream.makeCold();
    if (cmd.command === 'health') upstream.setHealth(cmd.status);
    if (cmd.command === 'crash') await upstream.crash();
    if (cmd.command === 'restart') await upstream.restart();
    if (cmd.command === 'ledger') return upstream.ledger.runs;
    return {up: upstream.isUp(), load: upstream.load(), ...upstream.counts};
  };
}

/** Creates a server for `POST /control`, one JSON command per request. */
export function createControlPort(execute: CommandHandler): HttpServer {
  async function handle(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    if (req.method !== 'POST' || req.url !== '/control') {
      sendJson(res, 404, {error: 'not found'});
      return;
    }
    try {
      const text = await readText(req);
      sendJson(res, 200, {result: await execute(JSON.parse(text))});
    } catch (err) {
      sendJson(res, 400, {error: err instanceof Error ? err.message : 'bad'});
    }
  }
  return createHttpServer((req, res) => void handle(req, res));
}

async function readText(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_COMMAND_BYTES) throw new RangeError('command is too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
