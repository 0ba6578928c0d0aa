// Linter settings: the TypeScript team's guidelines plus this project's own rules.
import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

/** Reports a module with more than one export statement; `index.ts` files are exempt. */
const oneExport = {
    meta: {
        type: "suggestion",
        schema: [],
        messages: { many: "A module exports one thing; this one has {{n}} exports." },
    },
    create(context) {
        return {
            Program(node) {
                const exports = node.body.filter(item => /^Export/.test(item.type));
                if (exports.length > 1) {
                    context.report({ node: exports[1], messageId: "many", data: { n: String(exports.length) } });
                }
            },
        };
    },
};

const publicItems = [
    "ExportNamedDeclaration > FunctionDeclaration",
    "ExportNamedDeclaration > TSTypeAliasDeclaration",
    "ExportNamedDeclaration > TSInterfaceDeclaration",
    "ExportNamedDeclaration > ClassDeclaration",
    "ExportNamedDeclaration > VariableDeclaration",
];

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        extends: [tseslint.configs.recommended],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc, local: { rules: { "one-export": oneExport } } },
        rules: {
            "local/one-export": "error",
            "jsdoc/require-jsdoc": ["error", { contexts: publicItems, require: { FunctionDeclaration: false } }],
            "curly": "error",
            "eqeqeq": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/switch-exhaustiveness-check": [
                "error",
                { considerDefaultExhaustiveForUnions: false, allowDefaultCaseForExhaustiveSwitch: false },
            ],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
            ],
        },
    },
    {
        files: ["packages/*/src/index.ts"],
        rules: { "local/one-export": "off" },
    },
);
