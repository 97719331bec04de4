/** A caller that receives one answer at a limited rate, as over a slow link. */
import { connect } from 'node:net';
import { HOST, PORTS } from './site.mjs';

const READ_INTERVAL = 50;

/** Requests a path and resolves with what was received once the connection has ended. */
export function download(ip, path, { id, deadline, rate }) {
  const result = { status: undefined, length: 'no length', received: 0, ending: undefined };
  const quota = (rate * READ_INTERVAL) / 1000;
  const socket = connect({ host: ip, port: PORTS.front });
  let allowance = quota;
  let head = Buffer.alloc(0);
  const timer = setInterval(() => {
    allowance = Math.min(allowance + quota, quota);
    if (allowance > 0) socket.resume();
  }, READ_INTERVAL);
  socket.on('data', (chunk) => {
    allowance -= chunk.length;
    if (allowance <= 0) socket.pause();
    result.received += chunk.length;
    if (result.status !== undefined) return;
    head = Buffer.concat([head, chunk]);
    const end = head.indexOf('\r\n\r\n');
    if (end < 0) return;
    const text = head.toString('latin1', 0, end);
    result.status = Number(text.slice(9, 12));
    result.length = Number(/\r\ncontent-length: (\d+)/i.exec(text)?.[1] ?? NaN) || 'no length';
    result.received = head.length - end - 4;
  });
  const lines = [`GET ${path} HTTP/1.1`, `Host: ${HOST}`, `X-Attempt-Id: ${id}`];
  const fields = [...lines, `X-Deadline-Ms: ${deadline}`, 'Connection: close', '', ''];
  socket.write(fields.join('\r\n'));
  return new Promise((resolve) => {
    const finish = (ending) => {
      clearInterval(timer);
      result.ending ??= ending;
      resolve(result);
    };
    socket.on('end', () => finish('end of the stream'));
    socket.on('error', ({ code }) => finish(code));
    socket.on('close', () => finish('close'));
  });
}
