# Targets: all, demo, check, soak, site-soak, node-soak, mutants, bench, fuzz, lint, format, install.
# VARIANT is rel (default), asan or tsan; SOAK=1 builds with mutants.

CC = gcc
PREFIX = /usr/local
DESTDIR =
VARIANT = rel

PKGS = libevent libevent_pthreads glib-2.0 jansson libsodium cmocka
# Asked when they are used: on a fresh machine `deps` installs them first.
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS))
LIBS = -levhtp -lonig -lssl -lcrypto -lmsgpackc -llog4c -linih -lxxhash \
	$(PKG_LIBS) -lm -lpthread

CFLAGS_rel = -O2 -g
CFLAGS_asan = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all \
	-fno-omit-frame-pointer
CFLAGS_tsan = -O1 -g -fsanitize=thread
# libFuzzer comes with clang only.
CFLAGS_fuzz = -O1 -g -fsanitize=fuzzer-no-link,address,undefined \
	-fno-sanitize-recover=all -fno-omit-frame-pointer
CFLAGS_soak = -O2 -g -DCS_SOAK
CFLAGS_soakasan = $(CFLAGS_asan) -DCS_SOAK

CFLAGS = -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	-D_GNU_SOURCE $(CFLAGS_$(VARIANT)) $(PKG_CFLAGS)
LDFLAGS = $(filter -fsanitize%,$(CFLAGS_$(VARIANT)))

ifeq ($(VARIANT),fuzz)
CC = clang
endif

B = build/$(VARIANT)

LIB_SRC := $(sort $(wildcard src/*/*.c src/*/*/*.c platform/*.c))
LIB_SRC := $(filter-out src/cmd/%,$(LIB_SRC))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
CMD_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard src/cmd/*.c))
UNIT_SRC := $(wildcard tests/unit/test_*.c)
UNIT_BIN := $(UNIT_SRC:tests/unit/%.c=$(B)/unit/%)
UNIT_COMMON := $(filter-out $(UNIT_SRC),$(wildcard tests/unit/*.c)) \
	$(filter-out %/main.c,$(wildcard tests/world/*.c))
STANDIN_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard tests/standin/*.c))
SOAK_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard tests/soak/*.c))
WORLD_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard tests/world/*.c))
FUZZ_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard tests/fuzz/*.c))
BENCH_OBJ := $(patsubst %.c,$(B)/%.o,$(wildcard bench/*.c))
C_FILES := $(shell find src platform tests bench -name '*.c' -o -name '*.h' | sort)

SEED = 1
STEPS = 1000000
MUTATE =
RUNS = 200000
DAYS = 20
SECONDS = 20

# A make of its own: what the compiler needs is known only after `deps`.
all: deps
	$(MAKE) fresh
	$(MAKE) programs

# Removes what a build folder that was carried over holds of other sources or of
# another kind of machine.
fresh:
	scripts/drop-stale.sh $(B) "$(CC) $(CFLAGS)"

# Installs the Debian packages once; needs root on a fresh machine.
deps: build/.deps
build/.deps: scripts/install-deps.sh
	scripts/install-deps.sh
	mkdir -p build
	touch $@

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<

$(B)/libcamphorshed.a: $(LIB_OBJ)
	rm -f $@
	ar rcs $@ $^

$(B)/camphorshed: $(CMD_OBJ) $(B)/libcamphorshed.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/camphorshed-standin: $(STANDIN_OBJ) $(B)/libcamphorshed.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/camphorshed-soak: $(SOAK_OBJ) $(B)/libcamphorshed.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/camphorshed-site-soak: $(WORLD_OBJ) $(B)/libcamphorshed.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/camphorshed-bench: $(BENCH_OBJ) $(B)/tests/unit/plan_model.o \
		$(filter-out %/main.o,$(SOAK_OBJ)) $(B)/libcamphorshed.a
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

build/fuzz/camphorshed-fuzz: $(FUZZ_OBJ) build/fuzz/libcamphorshed.a
	$(CC) -fsanitize=fuzzer $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/unit/%: $(B)/tests/unit/%.o $(UNIT_COMMON:%.c=$(B)/%.o) \
		$(B)/libcamphorshed.a
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)

unit: $(UNIT_BIN)

programs: $(B)/camphorshed $(if $(STANDIN_OBJ),$(B)/camphorshed-standin)

# The program alone, without tests, at a fixed place: what a platform builds.
target:
	$(MAKE) fresh
	$(MAKE) $(B)/camphorshed
	mkdir -p target
	cp --remove-destination $(B)/camphorshed target/camphorshed

check: deps
	scripts/check.sh

demo: all
	scripts/demo.sh

soak:
	$(MAKE) -s VARIANT=soak build/soak/camphorshed-soak
	build/soak/camphorshed-soak --seed=$(SEED) --steps=$(STEPS) \
		$(if $(MUTATE),--mutate=$(MUTATE))

# The platform entry under random faults, in virtual time.
site-soak:
	$(MAKE) -s $(B)/camphorshed-site-soak
	$(B)/camphorshed-site-soak --seed=$(SEED) --days=$(DAYS)

# Entries as processes under random faults from outside, in real time.
node-soak:
	$(MAKE) -s $(B)/camphorshed
	python3 tests/soak/node_soak.py --binary=$(B)/camphorshed \
		--seed=$(SEED) --seconds=$(SECONDS)

mutants:
	$(MAKE) -s VARIANT=soak build/soak/camphorshed-soak unit
	tests/soak/mutants.sh

bench: all
	$(MAKE) -s $(B)/camphorshed-bench
	$(MAKE) -s VARIANT=soak build/soak/camphorshed-bench
	bench/bench.sh

fuzz:
	$(MAKE) -s VARIANT=fuzz build/fuzz/camphorshed-fuzz
	tests/fuzz/run.sh $(RUNS)

lint:
	scripts/lint.sh

format:
	clang-format -i $(C_FILES)

# The unit names the program by its path, so the prefix is put in.
install: $(B)/camphorshed
	install -D -m 755 $(B)/camphorshed \
		$(DESTDIR)$(PREFIX)/bin/camphorshed
	install -D -m 644 doc/camphorshed.1 \
		$(DESTDIR)$(PREFIX)/share/man/man1/camphorshed.1
	install -D -m 644 etc/entry.ini \
		$(DESTDIR)$(PREFIX)/share/camphorshed/entry.ini
	install -D -m 644 etc/site.fleet.ini \
		$(DESTDIR)$(PREFIX)/share/camphorshed/site.fleet.ini
	install -d $(DESTDIR)$(PREFIX)/lib/systemd/system
	sed 's|/usr/local/|$(PREFIX)/|' etc/camphorshed.service \
		>$(DESTDIR)$(PREFIX)/lib/systemd/system/camphorshed.service
	chmod 644 $(DESTDIR)$(PREFIX)/lib/systemd/system/camphorshed.service

clean:
	rm -rf build/rel build/asan build/tsan build/soak build/soakasan build/fuzz

-include $(shell find build -name '*.d' 2>/dev/null)

.PHONY: all fresh deps unit programs target site-soak node-soak check demo soak mutants bench fuzz lint format \
	install clean
.SECONDARY:
