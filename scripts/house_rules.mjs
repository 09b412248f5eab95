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

/** Names of the users' platform that only its adapter may know. */
const WIRE_NAMES =
  /x-(attempt-id|response-seal|expected-instance|deadline-milliseconds|token-counts|prompt-prefix|not-executed|tenant|helpers)|kvCacheTotal|\/-\/(objects|report|order|readiness)/i;

const noWireNames = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {wire: 'Only platform/ may know names of the platform.'},
  },
  create(context) {
    const check = (node, text) => {
      if (WIRE_NAMES.test(text)) context.report({node, messageId: 'wire'});
    };
    return {
      Identifier: node => check(node, node.name),
      Literal: node => check(node, String(node.value)),
      TemplateElement: node => check(node, node.value.raw),
    };
  },
};

/** Lint rules of this repository that no published plugin has. */
export const houseRules = {
  rules: {'one-export': oneExport, 'no-wire-names': noWireNames},
};
