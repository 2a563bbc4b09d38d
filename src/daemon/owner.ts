import type {IncomingMessage, ServerResponse} from 'node:http';
import {Pool} from 'undici';
import {FORWARD_PREFIX, HEADERS} from '../internal.js';
import {readHeader, sendRefusal} from './http.js';

/** Creates the handler of forwarded requests. */
export function createOwner(deps: {upstreamUrl: string}) {
  const pool = new Pool(deps.upstreamUrl, {connections: 12, pipelining: 1});
  return async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const id = readHeader(req, HEADERS.id) ?? '';
    try {
      const answer = await pool.request({
        path: (req.url ?? '').slice(FORWARD_PREFIX.length),
        method: req.method as 'GET',
        body: req.method === 'GET' ? null : req,
        headers: {[HEADERS.id]: id},
      });
      res.writeHead(answer.statusCode, {
        [HEADERS.id]: id,
        [HEADERS.verdict]: 'ran',
      });
      answer.body.pipe(res);
    } catch {
      sendRefusal(res, 'connectionBroken', id);
    }
  };
}
