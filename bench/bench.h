#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

/* Each measurement prints key=value lines and returns 0, or 1 on a fault. */
int bench_leave(void);
int bench_plan(void);
int bench_slope(void);
int bench_place(void);
int bench_share(void);
int bench_urgent(void);

#endif
