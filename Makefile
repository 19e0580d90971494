# carawaybend.  "make demo" and "make check" also install the needed packages.

PREFIX ?= /usr/local
DESTDIR ?=
BUILD ?= build
SAN ?=

PACKAGES = gcc g++ make pkg-config libck-dev libprotobuf-c-dev \
	libtomlplusplus-dev libmicrohttpd-dev libcurl4-openssl-dev \
	libglib2.0-dev libgtest-dev librapidcheck-dev libxxhash-dev \
	libsodium-dev libjansson-dev tzdata
LINT_PACKAGES = clang-format clang-tidy cppcheck git

VERSION := 0.1.0

AGGREGATES = base wire http config replica endpoint distrib call report proxy
ROLES = daemon source relay platform
PROGRAMS := $(patsubst prog/%.c,%,$(wildcard prog/caraway*.c))
TOOLS := $(patsubst bench/%_main.c,%,$(wildcard bench/*_main.c))

# The flags of $(1) that the compiler has for this machine.
supported = $(foreach f,$(1),$(shell $(CC) $(f) -E -x c /dev/null >/dev/null 2>&1 && echo $(f)))

PKGS = glib-2.0 libmicrohttpd libcurl libxxhash libsodium jansson
PKG_CFLAGS = $(shell pkg-config --cflags $(PKGS))
PKG_LIBS = $(shell pkg-config --libs $(PKGS)) -lprotobuf-c -lck -lpthread -lm

# Protection of the control flow has another flag on each architecture.
CONTROL_FLOW = -fcf-protection -mbranch-protection=standard
HARDEN := -fstack-protector-strong -fPIE $(call supported,$(CONTROL_FLOW))
ifeq ($(SAN),)
HARDEN += -D_FORTIFY_SOURCE=2
else
SAN_FLAGS = -fsanitize=$(SAN) -fno-omit-frame-pointer
# With sanitizers GCC 12 reports uninitialised members in std::regex; the build
# without them keeps the warning.
SAN_CXX_WARN = -Wno-maybe-uninitialized
endif
WARN = -Wall -Wextra -Werror
# With sanitizers GCC 12 reports std::regex as uninitialised.
ifneq ($(SAN),)
WARN += -Wno-maybe-uninitialized
endif
CPPFLAGS = -I. -D_GNU_SOURCE -DCARAWAY_VERSION='"$(VERSION)"' $(PKG_CFLAGS)
CFLAGS = -std=gnu11 -O2 -g $(WARN) $(HARDEN) $(SAN_FLAGS)
CXXFLAGS = -std=c++17 -O1 -g $(WARN) $(SAN_CXX_WARN) $(HARDEN) $(SAN_FLAGS)
LDFLAGS = -pie -Wl,-z,relro,-z,now -Wl,--as-needed $(SAN_FLAGS)

LIB_SRC := $(foreach d,$(AGGREGATES),$(wildcard $(d)/*.c) $(wildcard $(d)/*.cc))
LIB_OBJ := $(patsubst %,$(BUILD)/%.o,$(LIB_SRC))
PROG_OBJ := $(patsubst %,$(BUILD)/%.o,$(wildcard prog/pr*.c) $(foreach d,$(ROLES),$(wildcard $(d)/*.c)))
CTL_OBJ := $(patsubst %,$(BUILD)/%.o,$(wildcard ctl/*.c))
BENCH_COMMON := $(patsubst %,$(BUILD)/%.o,$(filter-out %_main.c,$(wildcard bench/*.c)))
TEST_SRC := $(wildcard test/*.cc)
TEST_OBJ := $(patsubst %,$(BUILD)/%.o,$(TEST_SRC))
C_FILES := $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' 2>/dev/null | grep -v 'pb-c')

BINARIES := $(PROGRAMS:%=$(BUILD)/%) $(TOOLS:%=$(BUILD)/%)

.PHONY: all programs demo check tests fuzz fuzz-programs run-tests bench bench-converge bench-calls \
	bench-scale bench-silence install clean deps lint-deps format lint tidy proto docs

all: $(BINARIES)

programs: $(PROGRAMS:%=$(BUILD)/%)

# Packages are installed only if one that the build needs is missing.
deps:
	@command -v pkg-config >/dev/null && pkg-config --exists $(PKGS) && \
	 test -e /usr/include/rapidcheck.h -a -e /usr/include/gtest/gtest.h \
	      -a -e /usr/include/toml++/toml.h -a -e /usr/include/ck_pr.h \
	      -a -e /usr/include/protobuf-c/protobuf-c.h || \
	 { apt-get update -q && DEBIAN_FRONTEND=noninteractive \
	   apt-get install -y -q $(PACKAGES); }

lint-deps:
	@command -v clang-format >/dev/null && command -v clang-tidy >/dev/null \
	 && command -v cppcheck >/dev/null || \
	 { apt-get update -q && DEBIAN_FRONTEND=noninteractive \
	   apt-get install -y -q $(LINT_PACKAGES); }

demo: deps
	@$(MAKE) --no-print-directory -s -j$$(nproc) all
	@bench/demo.sh $(BUILD)

check: deps
	@$(MAKE) --no-print-directory -s -j$$(nproc) all tests
	@test/run.sh $(BUILD)

tests: $(BUILD)/test/all

bench: bench-converge bench-calls bench-scale bench-silence

bench-converge bench-calls bench-scale bench-silence: deps
	@$(MAKE) --no-print-directory -s -j$$(nproc) all
	@bench/$@.sh $(BUILD)

PROG_COMMON := $(BUILD)/libprog.a

$(BUILD)/libprog.a: $(PROG_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/libcaraway.a: $(LIB_OBJ)
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/carawayctl: $(CTL_OBJ)

$(PROGRAMS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/prog/%.c.o $(PROG_COMMON) $(BUILD)/libcaraway.a
	$(CXX) $(LDFLAGS) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(PKG_LIBS)

$(TOOLS:%=$(BUILD)/%): $(BUILD)/%: $(BUILD)/bench/%_main.c.o $(BENCH_COMMON) $(PROG_COMMON) $(BUILD)/libcaraway.a
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

FUZZERS := $(patsubst fuzz/%.c,$(BUILD)/fuzz/%,$(filter-out %_main.c,$(wildcard fuzz/*.c)))

# libFuzzer is a part of clang, which knows some flags of GCC only by name.
fuzz:
	@$(MAKE) --no-print-directory -s -j$$(nproc) BUILD=build/fuzz \
		CC=clang CXX=clang++ WARN="-Wall -Wextra" SAN_CXX_WARN= \
		CONTROL_FLOW= SAN=address,undefined,fuzzer-no-link fuzz-programs

fuzz-programs: $(FUZZERS) $(BUILD)/fuzz/fz_seeds

$(FUZZERS): $(BUILD)/fuzz/%: $(BUILD)/fuzz/%.c.o $(PROG_COMMON) $(BUILD)/libcaraway.a
	$(CXX) $(LDFLAGS) -fsanitize=fuzzer -o $@ $^ $(PKG_LIBS)

$(BUILD)/fuzz/fz_seeds: $(BUILD)/fuzz/fz_seeds_main.c.o $(PROG_COMMON) $(BUILD)/libcaraway.a
	$(CXX) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/test/all: $(TEST_OBJ) $(PROG_COMMON) $(BUILD)/libcaraway.a
	$(CXX) $(LDFLAGS) -o $@ $(TEST_OBJ) $(PROG_COMMON) $(BUILD)/libcaraway.a -lrapidcheck -lgtest -lgtest_main $(PKG_LIBS)

$(BUILD)/%.c.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/%.cc.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

# Generated code is committed; run this after a change to a .proto file.
proto:
	cd wire && for f in *.proto; do protoc-c --c_out=. $$f || exit 1; done

# Generates the tables of docs/RESULTS.md and docs/EVENTS.md, which a test
# compares with the code.
docs: $(BUILD)/carawayctl
	@for t in RESULTS EVENTS; do \
		f=docs/$$t.md; \
		sed '/^|/,$$d' $$f >$(BUILD)/$$t.md && \
		$(BUILD)/carawayctl explain $$(echo $$t | tr A-Z a-z) \
			>>$(BUILD)/$$t.md && cp $(BUILD)/$$t.md $$f || exit 1; \
	done

format: lint-deps
	clang-format -i $(C_FILES)

# A stamp for each file, so that a later run checks the changed files only.
$(BUILD)/%.tidy: %.c .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(CPPFLAGS) -std=gnu11 2>$@.log \
		|| { cat $@.log; exit 1; }
	@touch $@

tidy: $(patsubst %.c,$(BUILD)/%.tidy,$(filter %.c,$(C_FILES)))

lint: deps lint-deps
	@clang-format --dry-run --Werror $(C_FILES)
	@$(MAKE) --no-print-directory -s -j$$(nproc) tidy
	@cppcheck --quiet --error-exitcode=1 --std=c11 -j $$(nproc) \
	 --cppcheck-build-dir=$$(mkdir -p $(BUILD)/cppcheck && echo $(BUILD)/cppcheck) \
	 --enable=warning,performance,portability --inline-suppr \
	 --suppress=missingIncludeSystem --suppress=unknownMacro -I. \
	 $(filter %.c,$(C_FILES))

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man5 \
		$(DESTDIR)$(PREFIX)/share/man/man8 \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions
	install -m 755 $(PROGRAMS:%=$(BUILD)/%) $(DESTDIR)$(PREFIX)/bin
	for n in 1 5 8; do \
		for m in prog/*.$$n; do \
			[ ! -e $$m ] || install -m 644 $$m \
				$(DESTDIR)$(PREFIX)/share/man/man$$n; \
		done; \
	done
	[ ! -e prog/carawayctl.bash ] || install -m 644 prog/carawayctl.bash \
		$(DESTDIR)$(PREFIX)/share/bash-completion/completions/carawayctl

clean:
	rm -rf build

-include $(LIB_OBJ:.o=.d) $(TEST_OBJ:.o=.d)
-include $(foreach d,prog bench ctl fuzz $(ROLES),$(wildcard $(BUILD)/$(d)/*.d))
