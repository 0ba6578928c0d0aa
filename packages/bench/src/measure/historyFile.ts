/** The file that an engine writes its history to. */
export function historyFile(folder: string, engine: string): string {
    return `${folder}/${engine}.jsonl`;
}
