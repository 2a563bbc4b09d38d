import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';

/** Views served on the admin port; none of them changes state. */
export interface AdminViews {
  isReady(): boolean;
  readStatus(): unknown;
  /** Version in force with its document; undefined when there is none. */
  readDocument(): unknown;
  readTimeline(): unknown;
  readMetrics(): Promise<string>;
}

/** Creates the handler of the admin port. */
export function createAdmin(
  views: AdminViews,
): (req: IncomingMessage, res: ServerResponse) => void {
  const app = polka();
  app.get('/live', (_req, res) => res.end('live\n'));
  app.get('/ready', (_req, res) => {
    const ready = views.isReady();
    res.statusCode = ready ? 200 : 503;
    res.end(ready ? 'ready\n' : 'not ready\n');
  });
  app.get('/status', (_req, res) => {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(views.readStatus()));
  });
  app.get('/document', (_req, res) => {
    const document = views.readDocument();
    res.statusCode = document === undefined ? 503 : 200;
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(document ?? {error: 'no-config'}));
  });
  app.get('/timeline', (_req, res) => {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify(views.readTimeline()));
  });
  app.get('/metrics', (_req, res) => {
    views.readMetrics().then(
      text => {
        res.setHeader('content-type', 'text/plain; version=0.0.4');
        res.end(text);
      },
      () => {
        res.statusCode = 500;
        res.end('metrics failed\n');
      },
    );
  });
  return (req, res) => void app.handler(req as never, res);
}
