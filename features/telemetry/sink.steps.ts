import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { LineSink } from '../../src/telemetry/sink.js';

interface SinkWorld {
  now: number;
  written: string;
  maxBytesPerWrite: number;
  loggedLines: readonly string[];
  sink: LineSink;
}

Given('a log sink limited to {int} lines per second', function (this: SinkWorld, rate: number) {
  this.now = 0;
  this.written = '';
  this.maxBytesPerWrite = Infinity;
  this.sink = new LineSink({
    now: () => this.now,
    write: (bytes, done) => {
      const taken = Math.min(bytes.length, this.maxBytesPerWrite);
      this.written += bytes.toString('utf8', 0, taken);
      if (taken > 0) done(null, taken);
    },
  });
  this.sink.setRate(rate);
  this.sink.flush();
});

function addLines(world: SinkWorld, count: number, size: number): void {
  world.loggedLines = Array.from({ length: count }, (_, at) => `line ${at} `.padEnd(size, '.'));
  world.loggedLines.forEach((line) => {
    world.sink.addLine(line);
  });
}

When(
  '{int} lines are logged at once and another one a second later',
  function (this: SinkWorld, count: number) {
    addLines(this, count, 10);
    this.now += 1000;
    this.sink.addLine('the last');
    this.sink.flush();
  },
);

Then(
  'the log holds {int} lines, and one reports that {int} were dropped',
  function (this: SinkWorld, lines: number, dropped: number) {
    const found = this.written.trim().split('\n');
    assert.equal(found.length, lines);
    assert.ok(
      found.some((line) => line.includes(`"count":${dropped}`)),
      this.written,
    );
  },
);

When(
  'its reader reads nothing while {int} lines of {int} bytes are logged',
  function (this: SinkWorld, count: number, size: number) {
    this.maxBytesPerWrite = 0;
    addLines(this, count, size);
    this.sink.flush();
  },
);

Then(
  'at most {int} bytes are buffered and the other lines are counted as dropped',
  function (this: SinkWorld, limit: number) {
    const [line = ''] = this.loggedLines;
    const kept = this.loggedLines.length - this.sink.dropped;
    assert.ok(kept * (line.length + 1) <= limit, `${kept} lines are buffered`);
    assert.ok(this.sink.dropped > 0);
  },
);

When(
  'its reader reads {int} bytes at a time while {int} lines are logged',
  async function (this: SinkWorld, bytes: number, count: number) {
    this.maxBytesPerWrite = bytes;
    addLines(this, count, 12);
    while (!this.written.includes(this.loggedLines.at(-1) ?? '')) {
      this.sink.flush();
      await new Promise((resolve) => setTimeout(resolve, 0));
    }
  },
);

Then('the reader has received every line complete and in order', function (this: SinkWorld) {
  assert.deepEqual(this.written.trimEnd().split('\n'), this.loggedLines);
});
