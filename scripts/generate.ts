/**
 * Generates TypeScript types and embedded schemas from `schema/*.schema.json` into `src/generated/`.
 * With `--check` nothing is written and the exit code is 1 when a committed file is stale.
 */
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
  const readOnly = types
    .replace(/^( +)(?!readonly )(["'\w]+\??: )/gm, '$1readonly $2')
    .replace(/: ([\w.]+)\[\];/g, ': readonly $1[];')
    .replace(/: (\([^()]*\))\[\];/g, ': readonly $1[];');
  const constant = file
    .replace('.schema.json', '')
    .replace(/-(\w)/g, (_, c: string) => c.toUpperCase());
  return `${readOnly}\n/** The JSON schema that the types above were generated from. */\nexport const ${constant}Schema = ${JSON.stringify(schema, null, 2)} as const;\n`;
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
const changed = stale.flat();
changed.forEach((target) => {
  console.log(checkOnly ? `${target} is stale: run npm run generate` : `wrote ${target}`);
});
if (checkOnly && changed.length > 0) process.exitCode = 1;
