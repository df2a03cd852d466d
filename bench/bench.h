#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

/*
 * Each benchmark prints key=value lines. It returns 0, or another value if an
 * invariant or a limit was violated.
 */
int bench_leave(void);
int bench_plan(void);
int bench_slope(void);
int bench_place(void);
int bench_share(void);
int bench_urgent(void);

#endif
