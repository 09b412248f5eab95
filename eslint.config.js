import gts from 'gts';
import {localRules} from './scripts/eslint_rules.mjs';

const BANNED_MODULES = [
  'node:cluster',
  'cluster',
  'http-proxy',
  'node:worker_threads',
  'worker_threads',
];
const CHILD_PROCESS = ['node:child_process', 'child_process'];

export default [
  {ignores: ['dist/', 'target/', 'node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    plugins: {local: localRules},
    languageOptions: {
      parserOptions: {project: './tsconfig.json', projectService: false},
    },
    rules: {
      'local/one-export': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'TSEnumDeclaration',
          message: 'Use a union of string literals.',
        },
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export.',
        },
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs', 'eslint.config.js'],
    languageOptions: {
      sourceType: 'module',
      globals: {process: 'readonly', console: 'readonly'},
    },
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {paths: [...BANNED_MODULES, ...CHILD_PROCESS]},
      ],
    },
  },
  {
    files: ['packages/**/*.ts', 'playground/**/*.ts', 'bench/**/*.ts'],
    rules: {'local/no-platform-api-names': 'error'},
  },
  {
    files: ['packages/decisions/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              // Persistent collections do no I/O.
              regex: '^(node:|@figfall/|effect(?!/HashMap$|/Option$))',
              message:
                'packages/decisions is pure: import no I/O and no other package.',
            },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'process',
        'performance',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: {'@typescript-eslint/no-floating-promises': 'off'},
  },
];
