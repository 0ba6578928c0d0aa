export default {
    files: ["packages/*/dist/__tests__/**/*.test.js", "platform/dist/__tests__/**/*.test.js"],
    workerThreads: false,
    // Tests with real processes compete for the machine; more at once made them time out.
    concurrency: 4,
    timeout: "120s",
};
