import { Given, Then, type World } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { settingsSchema } from '../../src/generated/settings.js';
import { parseSettings } from '../../src/settings/index.js';

interface KeysWorld extends World {
  sections: readonly Section[];
}

interface Section {
  readonly name: string;
  readonly lines: readonly (readonly [key: string, value: string])[];
}

const common: readonly Section[] = [
  {
    name: 'site',
    lines: [
      ['name', 'shah-alam'],
      ['secret', 'a secret of the site'],
    ],
  },
  { name: 'peer', lines: [['listen', '127.0.0.1:7400']] },
  { name: 'clocks', lines: [['max_skew_ms', '5s']] },
  {
    name: 'moves',
    lines: [
      ['exposure_share', '0.1'],
      ['exposure_slack', '50'],
    ],
  },
  { name: 'platform', lines: [['listen', '127.0.0.1:9464']] },
  {
    name: 'telemetry',
    lines: [
      ['log_level', 'info'],
      ['otlp_url', 'http://127.0.0.1:4318'],
      ['trace_share', '0.5'],
      ['log_lines_per_s', '100'],
    ],
  },
  {
    name: 'limits',
    lines: [
      ['max_connections', '500'],
      ['max_pipelined_requests', '8'],
      ['max_unsent_kb', '32'],
      ['steps_per_turn', '128'],
    ],
  },
];

const roleSections: Readonly<Record<string, readonly Section[]>> = {
  gateway: [
    {
      name: 'gateway',
      lines: [
        ['caller_listen', '127.0.0.1:8381'],
        ['ready_listen', '127.0.0.1:8388'],
        ['directory_listen', '127.0.0.1:8383'],
        ['seeds', '127.0.0.1:8382, 127.0.0.2:8382'],
        ['steward_port', '7200'],
        ['address_ttl_ms', '3s'],
        ['capacity', '0.945'],
        ['probe_rate', '60'],
        ['probe_interval_ms', '150ms'],
        ['stop_time_ms', '6000'],
        ['max_state_age_ms', '2000ms'],
        ['retry_ratio', '2e-1'],
        ['retry_slack', '64'],
        ['cold_factor', '1.5'],
        ['cold_slack', '5'],
      ],
    },
    { name: 'hedging', lines: [['max_extra_work', '0.25']] },
  ],
  steward: [
    {
      name: 'steward',
      lines: [
        ['order_listen', '127.0.0.1:8382'],
        ['seeds', '127.0.0.1:8382'],
        ['steward_port', '7200'],
        ['data_folder', '/data/steward'],
        ['first_start', 'true'],
        ['announce_interval_ms', '1.5s'],
        ['tolerated_losses', '2'],
      ],
    },
  ],
  'entry, control': [
    {
      name: 'control',
      lines: [
        ['members', '127.0.0.1:7400'],
        ['data_folder', 'data'],
        ['operator_listen', '127.0.0.1:7500'],
        ['join', 'false'],
        ['tolerated_losses', '1'],
      ],
    },
    {
      name: 'entry',
      lines: [
        ['caller_listen', '127.0.0.1:8080'],
        ['upstream_listen', '127.0.0.1:8081'],
        ['seeds', '127.0.0.1:7400'],
        ['address_ttl_ms', '5000'],
        ['stale_policy', 'refuse'],
        ['probe_share', '0.01'],
      ],
    },
  ],
};

/** Keys that the roles need although other roles leave them out. */
const neededByRole: readonly string[] = [
  ...['site.operator_token', 'site.upstream_token', 'control.data_folder'],
  'control.operator_listen',
];

interface KeySchema {
  readonly type?: string;
  readonly pattern?: string;
  readonly enum?: readonly string[];
  readonly minLength?: number;
  readonly minItems?: number;
  readonly $ref?: string;
}

interface SectionSchema {
  readonly required?: readonly string[];
  readonly properties: Readonly<Record<string, KeySchema>>;
}

const schemas = settingsSchema.properties as unknown as Readonly<Record<string, SectionSchema>>;

function renderSections(sections: readonly Section[]): string {
  return sections
    .map(({ name, lines }) =>
      [`[${name}]`, ...lines.map(([key, value]) => `${key}${value}`)].join('\n'),
    )
    .join('\n\n; A comment.\n');
}

/** Renders the settings with the line of one key replaced by others. */
function renderWith(
  sections: readonly Section[],
  section: string,
  key: string,
  replaced: readonly string[],
): string {
  return renderSections(
    sections.map(({ name, lines }) => ({
      name,
      lines: lines.flatMap(([other, value]): readonly (readonly [string, string])[] =>
        name === section && other === key
          ? replaced.map((line) => [line, ''])
          : [[other, ` = ${value}`]],
      ),
    })),
  );
}

/** Returns values that aren't of the kind of a key; free text has none but the empty one. */
function listOddValues(key: string, schema: KeySchema): readonly string[] {
  if (schema.enum !== undefined || schema.pattern !== undefined || schema.$ref !== undefined)
    return ['', 'Odd value', 'null', '1,2'];
  switch (schema.type ?? 'string') {
    case 'integer':
    case 'number':
      return ['', 'plenty', '0x10', 'true', 'null', ...(key.endsWith('_ms') ? ['5m'] : ['5s'])];
    case 'boolean':
      return ['', 'yes', '1', 'null'];
    case 'array':
      return ['Odd value', 'true', 'null', ...(schema.minItems === undefined ? [] : [''])];
    default:
      return schema.minLength === undefined ? ['null'] : ['', 'null'];
  }
}

/** Returns what is wrong if settings aren't refused by the name of a key. */
function findMiss(text: string, name: string, shown: string): readonly string[] {
  const settings = parseSettings('site.ini', text);
  const isNamed =
    settings.isErr() &&
    settings.error.some(
      ({ key, remedy }) => (key === name || key.startsWith(`${name}.`)) && remedy !== '',
    );
  return isNamed ? [] : [`${name}: ${shown}`];
}

Given(
  'valid settings of the role {string} with every key',
  function (this: KeysWorld, roles: string) {
    const process: Section = {
      name: 'process',
      lines: [
        ['id', 'entry-1'],
        ['zone', 'cyberjaya'],
        ['region', 'klang-valley'],
        ['memory_mb', '350'],
        ['link_mbps', '1000.0'],
        ['roles', roles],
      ],
    };
    const tokens: Section = {
      name: 'site',
      lines: [
        ['operator_token', 'an operator token'],
        ['upstream_token', 'an upstream token'],
      ],
    };
    const [site, ...rest] = common;
    assert.ok(site);
    const withTokens: Section = { name: 'site', lines: [...site.lines, ...tokens.lines] };
    this.sections = [withTokens, process, ...rest, ...(roleSections[roles] ?? [])];
    this.sections.forEach(({ name, lines }) => {
      const known = Object.keys(schemas[name]?.properties ?? {});
      assert.deepEqual(lines.map(([key]) => key).sort(), known.sort(), name);
    });
    assert.ok(parseSettings('site.ini', renderWith(this.sections, '', '', [])).isOk());
  },
);

Then(
  'each key that is dropped is refused by its name, unless it has a default or may be left out',
  function (this: KeysWorld) {
    const isControl = this.sections.some(({ name }) => name === 'control');
    const misses = this.sections.flatMap(({ name, lines }) =>
      lines.flatMap(([key]) => {
        const isNeeded = isControl && neededByRole.includes(`${name}.${key}`);
        const isRequired = (schemas[name]?.required?.includes(key) ?? false) || isNeeded;
        const text = renderWith(this.sections, name, key, []);
        if (isRequired) return findMiss(text, `${name}.${key}`, 'dropped, accepted');
        return parseSettings('site.ini', text).isOk() ? [] : [`${name}.${key}: dropped, refused`];
      }),
    );
    assert.deepEqual(misses, []);
  },
);

Then(
  'each key without a value, with two values or with one of another kind is refused by its name',
  function (this: KeysWorld) {
    const misses = this.sections.flatMap(({ name, lines }) =>
      lines.flatMap(([key, value]) => {
        const line = `${key} = ${value}`;
        const odd = listOddValues(key, schemas[name]?.properties[key] ?? {});
        const changes = [[key], [line, line], ...odd.map((item) => [`${key} = ${item}`])];
        return changes.flatMap((changed) =>
          findMiss(
            renderWith(this.sections, name, key, changed),
            `${name}.${key}`,
            changed.join(' and '),
          ),
        );
      }),
    );
    assert.deepEqual(misses, []);
  },
);
