/** Cost of one process over a measured interval. */
export type Cost = Readonly<{
	/** Share of one core, 0 to 1. */
	processor: number;
	residentMegabytes: number;
	bytesPerSecond: number;
}>;

/** Cost at one size. */
export type Sample = Readonly<{size: number; cost: Cost}>;

/** A straight line through samples. */
export type Line = Readonly<{intercept: number; slope: number}>;
