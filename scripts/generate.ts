/**
 * Generates TypeScript types, embedded schemas and precompiled validators from `schema/*.schema.json` into
 * `src/generated/`. With `--check` it writes nothing and exits with code 1 if a committed file is stale.
 */
import { Ajv, type Options } from 'ajv';
import standaloneModule from 'ajv/dist/standalone/index.js';
import { readFileSync, readdirSync, writeFileSync, existsSync } from 'node:fs';
import { compile, type JSONSchema } from 'json-schema-to-typescript';

const checkOnly = process.argv.includes('--check');

async function renderModule(file: string): Promise<string> {
  const text = readFileSync(`schema/${file}`, 'utf8');
  const schema = JSON.parse(text) as JSONSchema;
  const types = await compile(schema, file, {
    bannerComment: `/** Generated from schema/${file} by scripts/generate.ts; edit the schema instead. */`,
    additionalProperties: false,
    readonlyKeyword: true,
    unreachableDefinitions: true,
    format: true,
    style: { singleQuote: true, printWidth: 100 },
  } as Parameters<typeof compile>[2]);
  const readonlyTypes = types
    .replace(/^( +)(?!readonly )(["'\w]+\??: )/gm, '$1readonly $2')
    .replace(/: ([\w.]+)\[\];/g, ': readonly $1[];')
    .replace(/: (\([^()]*\))\[\];/g, ': readonly $1[];');
  const constant = file
    .replace('.schema.json', '')
    .replace(/-(\w)/g, (_, c: string) => c.toUpperCase());
  return `${readonlyTypes}\n/** The JSON schema that the types above were generated from. */\nexport const ${constant}Schema = ${JSON.stringify(schema, null, 2)} as const;\n`;
}

/** A module of validators that are compiled ahead of time, so that start-up compiles no schema. */
interface ValidatorModule {
  readonly target: string;
  readonly schema: string;
  readonly options: Options;
  /** The definition in the schema for each type; an empty string means the whole schema. */
  readonly types: Readonly<Record<string, string>>;
}

const validatorModules: readonly ValidatorModule[] = [
  {
    target: 'settings',
    schema: 'settings',
    options: { allErrors: true, useDefaults: true, verbose: true },
    types: { Settings: '' },
  },
  {
    target: 'control',
    schema: 'control',
    options: { strict: false },
    types: {
      Identity: 'identity',
      Vote: 'vote',
      LogRecord: 'logRecord',
      Snapshot: 'snapshot',
    },
  },
];

/** Renders the validators as ES module code, in which `require` calls for the runtime helpers of ajv become imports. */
function renderValidators({ target, schema, options, types }: ValidatorModule): string {
  const ajv = new Ajv({ ...options, code: { source: true, esm: true } });
  const content = JSON.parse(readFileSync(`schema/${schema}.schema.json`, 'utf8')) as object;
  ajv.addSchema({ ...content, $id: target });
  const names = Object.keys(types);
  const refs = Object.fromEntries(
    names.map((name) => {
      const definition = types[name] ?? '';
      const id = `${name}Validator`;
      const $ref = definition === '' ? target : `${target}#/definitions/${definition}`;
      ajv.addSchema({ $id: id, $ref });
      return [`validate${name}`, id];
    }),
  );
  const standalone = standaloneModule as unknown as (ajv: Ajv, refs: unknown) => string;
  const imports = new Map<string, string>();
  const code = standalone(ajv, refs).replace(
    /require\("(ajv\/dist\/runtime\/(\w+))"\)\.default/g,
    (_, path: string, name: string) => {
      imports.set(name, path);
      return `${name}Helper.default`;
    },
  );
  const helpers = [...imports].map(([name, path]) => `import ${name}Helper from '${path}.js';\n`);
  return `// @ts-nocheck -- generated from schema/${schema}.schema.json by scripts/generate.ts\n${helpers.join('')}${code}\n`;
}

function renderValidatorTypes({ target, schema, types }: ValidatorModule): string {
  const names = Object.keys(types);
  return `/** Generated from schema/${schema}.schema.json by scripts/generate.ts; edit the schema instead. */
import type { ValidateFunction } from 'ajv';
import type { ${names.join(', ')} } from './${schema}.js';
import * as validators from './${target}.validators.js';

${names
  .map(
    (name) =>
      `export const validate${name} = validators.validate${name} as unknown as ValidateFunction<${name}>;`,
  )
  .join('\n')}
`;
}

const files = readdirSync('schema').filter((name) => name.endsWith('.schema.json'));
const stale = await Promise.all(
  files.map(async (file) => {
    const target = `src/generated/${file.replace('.schema.json', '.ts')}`;
    const wanted = await renderModule(file);
    const found = existsSync(target) ? readFileSync(target, 'utf8') : '';
    if (found === wanted) return [];
    if (!checkOnly) writeFileSync(target, wanted);
    return [target];
  }),
);
const validatorFiles = validatorModules.flatMap((module) => [
  [`src/generated/${module.target}.validators.ts`, renderValidators(module)] as const,
  [`src/generated/${module.target}.validate.ts`, renderValidatorTypes(module)] as const,
]);
const staleValidators = validatorFiles.flatMap(([target, wanted]) => {
  const found = existsSync(target) ? readFileSync(target, 'utf8') : '';
  if (found === wanted) return [];
  if (!checkOnly) writeFileSync(target, wanted);
  return [target];
});
const changed = [...stale.flat(), ...staleValidators];
changed.forEach((target) => {
  console.log(checkOnly ? `${target} is stale: run npm run generate` : `wrote ${target}`);
});
if (checkOnly && changed.length > 0) process.exitCode = 1;
