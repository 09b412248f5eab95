/** Counts the names that an export statement makes public. */
const exportedNames = statement =>
  statement.type === 'ExportNamedDeclaration' ||
  statement.type === 'ExportAllDeclaration'
    ? 1
    : 0;

const oneExport = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {many: 'Move this export to a file of its own.'},
  },
  create(context) {
    if (context.filename.endsWith('/index.ts')) return {};
    return {
      Program(program) {
        program.body
          .filter(statement => exportedNames(statement) > 0)
          .slice(1)
          .forEach(node => context.report({node, messageId: 'many'}));
      },
    };
  },
};

/** Lint rules of this repository that no published plugin has. */
export const houseRules = {rules: {'one-export': oneExport}};
