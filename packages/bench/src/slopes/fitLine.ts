import type { SlopePoint } from "./Slope.js";

/** A straight line. */
type Line = { readonly perItem: number; readonly fixed: number; };

/** Fits a line through points by least squares. Two different numbers of items are needed at least. */
export function fitLine(points: readonly SlopePoint[]): Line {
    const count = points.length;
    const meanItems = points.reduce((sum, { items }) => sum + items, 0) / count;
    const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
    const covariance = points.reduce((sum, { items, value }) => sum + (items - meanItems) * (value - meanValue), 0);
    const variance = points.reduce((sum, { items }) => sum + (items - meanItems) ** 2, 0);
    const perItem = covariance / variance;
    return { perItem, fixed: meanValue - perItem * meanItems };
}
