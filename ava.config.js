export default {
    files: ["packages/*/dist/__tests__/**/*.test.js"],
    workerThreads: false,
    timeout: "120s",
};
