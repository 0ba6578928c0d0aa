/** Returns the path of the file to which an engine writes its history. */
export function historyFile(folder: string, engine: string): string {
    return `${folder}/${engine}.jsonl`;
}
