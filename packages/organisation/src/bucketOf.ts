/** Digits of a digest by which keys are indexed: enough that at most a few of a fleet's keys share them. */
const BUCKET_DIGITS = 8;

/** Gives the part of a digest that keys are indexed by. */
export function bucketOf(digest: string): string {
    return digest.slice(0, BUCKET_DIGITS);
}
