import n from 'eslint-plugin-n';
import tseslint from 'typescript-eslint';

// The rules of the Google TypeScript Style Guide that a linter can check.
export default tseslint.config(
  {ignores: ['dist/', 'target/', 'node_modules/']},
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    plugins: {n},
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      curly: ['error', 'multi-line'],
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      'max-depth': ['error', 4],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {selector: 'TSEnumDeclaration[const=true]', message: 'No const enums.'},
      ],
      'no-throw-literal': 'error',
      'no-var': 'error',
      'one-var': ['error', 'never'],
      'prefer-const': 'error',
      'n/no-extraneous-import': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {
          selector: 'variable',
          format: ['camelCase', 'PascalCase', 'UPPER_CASE'],
        },
      ],
    },
  },
  {
    // Parts of the bundle and its loader, which Node runs as CommonJS.
    files: ['deploy/**/*.cjs'],
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  {
    files: ['src/**/*.ts'],
    rules: {
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random', message: 'Use a Random argument.'},
      ],
      'no-restricted-imports': [
        'error',
        {
          paths: [
            {name: 'child_process', message: 'A process starts no process.'},
            {
              name: 'node:child_process',
              message: 'A process starts no process.',
            },
            {name: 'cluster', message: 'A process starts no process.'},
            {name: 'node:cluster', message: 'A process starts no process.'},
          ],
          patterns: [{group: ['**/standins/**'], message: 'Tests only.'}],
        },
      ],
    },
  },
);
