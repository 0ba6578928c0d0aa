import type { SlopePoint } from "./Slope.js";

type Line = { readonly perItem: number; readonly fixed: number; };

/** Fits a line to points by least squares. The points must have at least two different numbers of items. */
export function fitLine(points: readonly SlopePoint[]): Line {
    const count = points.length;
    const meanItems = points.reduce((sum, { items }) => sum + items, 0) / count;
    const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
    const covariance = points.reduce((sum, { items, value }) => sum + (items - meanItems) * (value - meanValue), 0);
    const variance = points.reduce((sum, { items }) => sum + (items - meanItems) ** 2, 0);
    const perItem = covariance / variance;
    return { perItem, fixed: meanValue - perItem * meanItems };
}
