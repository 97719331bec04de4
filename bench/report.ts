/** Plots the results of the `zone` benchmark over time in `bench/out/report.html`, a page that loads nothing over the network. */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';
import type { SecondResult } from './stand/load.js';

interface ZoneFigures {
  readonly date: string;
  readonly node: string;
  readonly processor: string;
  readonly figures: readonly {
    readonly fault: string;
    readonly load: number;
    readonly seconds: readonly SecondResult[];
  }[];
}

const require = createRequire(import.meta.url);

function readLibrary(): { readonly script: string; readonly style: string } {
  const folder = dirname(require.resolve('uplot/dist/uPlot.iife.min.js'));
  return {
    script: readFileSync(join(folder, 'uPlot.iife.min.js'), 'utf8'),
    style: readFileSync(join(folder, 'uPlot.min.css'), 'utf8'),
  };
}

const drawScript = `
charts.forEach(({ title, rows }) => {
  const heading = document.createElement('h2');
  heading.textContent = title;
  document.body.append(heading);
  const column = (key) => rows.map((row) => row[key]);
  new uPlot({
    width: 900, height: 260, scales: { x: { time: false } },
    axes: [{ label: 'second' }, { label: 'p99, ms' }, { scale: 'calls', side: 1, label: 'calls a second' }],
    series: [{}, { label: 'p99 ms', stroke: '#b00' }, { label: 'answered', scale: 'calls', stroke: '#070' },
      { label: 'refused or failed', scale: 'calls', stroke: '#00b' }],
  }, [column('second'), column('p99'), column('ok'), column('failed')], document.body);
});`;

/** Writes the page from `bench/out/zone.json`; the `zone` benchmark must have run before. */
export function run(): Promise<void> {
  const out = join(process.cwd(), 'bench', 'out');
  const zone = JSON.parse(readFileSync(join(out, 'zone.json'), 'utf8')) as ZoneFigures;
  const charts = zone.figures.map((figure) => ({
    title: `Zone leaves (${figure.fault}) at 6 s and returns at 14 s, load ${figure.load} of all zones`,
    rows: figure.seconds,
  }));
  const { script, style } = readLibrary();
  const page = `<!doctype html><meta charset="utf-8"><title>chivewalk benches</title><style>${style}</style>
<p>${zone.date}, Node ${zone.node}, ${zone.processor}</p>
<script>${script}</script><script>const charts = ${JSON.stringify(charts)};${drawScript}</script>\n`;
  writeFileSync(join(out, 'report.html'), page);
  console.log('wrote bench/out/report.html');
  return Promise.resolve();
}
