/** Returns true for a statement that exports names. */
const isExport = statement =>
  statement.type === 'ExportNamedDeclaration' ||
  statement.type === 'ExportAllDeclaration';

const oneExportPerFile = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: {
      multipleExports:
        'A file has one export. Move this one to a file of its own.',
    },
  },
  create(context) {
    if (context.filename.endsWith('/index.ts')) return {};
    return {
      Program(program) {
        program.body
          .filter(isExport)
          .slice(1)
          .forEach(node =>
            context.report({node, messageId: 'multipleExports'}),
          );
      },
    };
  },
};

/** Headers, fields and paths of the platform's HTTP API. */
const PLATFORM_API_NAMES =
  /x-(attempt-id|response-seal|expected-instance|deadline-milliseconds|token-counts|prompt-prefix|not-executed|tenant|helpers)|kvCacheTotal|\/-\/(objects|report|order|readiness)/i;

const noPlatformApiNames = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      platformApiName: "Only platform/ may use names of the platform's API.",
    },
  },
  create(context) {
    const check = (node, text) => {
      if (PLATFORM_API_NAMES.test(text))
        context.report({node, messageId: 'platformApiName'});
    };
    return {
      Identifier: node => check(node, node.name),
      Literal: node => check(node, String(node.value)),
      TemplateElement: node => check(node, node.value.raw),
    };
  },
};

/** ESLint rules of this repository that no published plugin provides. */
export const localRules = {
  rules: {
    'one-export': oneExportPerFile,
    'no-platform-api-names': noPlatformApiNames,
  },
};
