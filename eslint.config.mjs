import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Function names must begin with one of these verbs; docs/STYLE.md explains each group. */
const verbs = [
  'add|advance|announce|append|apply|assign|attach|build|cancel|check|choose|claim|close|compare|compute|count|create',
  'decide|decode|describe|divide|drain|drop|encode|enter|expire|export|find|finish|flush|format|forward|generate|get|grant',
  'handle|has|hash|is|join|judge|leave|list|load|mark|match|measure|merge|open|parse|pick|plan|print|probe|propose|prune',
  'read|record|refuse|register|release|remove|render|renew|repair|replace|report|request|resolve|run|schedule|select|send|serve',
  'settle|show|start|step|stop|sum|sync|to|update|validate|verify|wait|watch|with|write',
].join('|');

export default tseslint.config(
  { ignores: ['dist', 'node_modules', 'src/generated', 'bench/out', '**/*.mjs'] },
  eslint.configs.recommended,
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { project: './tsconfig.json', tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'function',
          format: ['camelCase'],
          custom: { regex: `^(${verbs})([A-Z0-9]|$)`, match: true },
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'ForStatement', message: 'House style: use array methods.' },
        { selector: 'ForInStatement', message: 'House style: use array methods.' },
        { selector: 'ForOfStatement[await=false]', message: 'House style: use array methods.' },
      ],
    },
  },
);
