import * as z from 'zod';

const NAME = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const PORT = z.int().min(1).max(65_535);
const URL_TEXT = z.url({protocol: /^https?$/});

/** Schema of the settings file of a daemon. */
export const settingsSchema = z.strictObject({
  /** Name of this daemon and its upstream; unique among running instances. */
  id: NAME,
  dataCentre: NAME,
  region: NAME,
  service: NAME,
  listen: z.strictObject({
    host: z.string().default('127.0.0.1'),
    customerPort: PORT,
    peerPort: PORT,
    adminHost: z.string().default('127.0.0.1'),
    adminPort: PORT,
  }),
  /** Address that other daemons use; the listen host when absent. */
  advertiseHost: z.string().optional(),
  upstream: z.strictObject({url: URL_TEXT}),
  platform: z.strictObject({
    configUrl: URL_TEXT,
    listUrl: URL_TEXT,
    /** Mean interval of list reads by the readers of a data centre, ms. */
    listEveryMs: z.int().min(500).max(600_000).default(60_000),
  }),
  /** Shared key that authenticates peers, at least 16 characters. */
  peerKey: z.string().min(16).max(256),
  log: z
    .strictObject({level: z.enum(['info', 'warn', 'error']).default('info')})
    .default({level: 'info'}),
});

/** Settings of a daemon with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>;
