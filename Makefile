# One binary, its tests and its checks; see CONTRIBUTING.md for the targets.
B	?= build
CC	?= gcc
PKGS	= apr-1 libzmq msgpack libmicrohttpd libcurl jansson libsodium libxxhash \
	  libevent_core libevent_extra
PKG_CF	:= $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
PKG_LD	:= $(shell pkg-config --libs $(PKGS) 2>/dev/null)
OPT	?= -O2 -g
SAN	?=
CFLAGS	= -std=gnu11 -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
	  -Wmissing-prototypes -fno-strict-aliasing $(OPT) $(SAN) \
	  -D_GNU_SOURCE -Isrc -I. $(PKG_CF) -MMD -MP
CXXFLAGS = -std=c++20 -Wall -Wextra -Werror $(OPT) $(SAN) -D_GNU_SOURCE \
	  -Isrc -I. $(PKG_CF) -MMD -MP
LDLIBS	= $(PKG_LD) -largtable2 -llog4c -lpthread -lm
SRCS	:= $(wildcard src/*.c src/*/*.c platform/*.c)
OBJS	:= $(SRCS:%.c=$(B)/%.o)
LIBOBJS	:= $(filter-out $(B)/src/main.o,$(OBJS))
# The stand-in of the platform for sessions is a program of its own.
WSRCS	:= $(wildcard tests/sessions/*.cc)
WOBJS	:= $(WSRCS:%.cc=$(B)/%.o)
TSRCS	:= $(filter-out $(WSRCS),$(wildcard tests/*.cc tests/*/*.cc))
TOBJS	:= $(TSRCS:%.cc=$(B)/%.o)
HDRS	:= $(wildcard src/*/*.h platform/*.h)

.PHONY: all binary check demo lint format matrix spec measure capacity clean \
	packages san tsan

all: binary
binary: $(B)/gypsumcleat

packages:
	@scripts/packages

$(B)/gypsumcleat: $(OBJS)
	$(CC) $(SAN) -o $@ $(OBJS) $(LDLIBS)

$(B)/check: $(LIBOBJS) $(TOBJS)
	$(CXX) $(SAN) -o $@ $(LIBOBJS) $(TOBJS) $(LDLIBS) -lgtest

$(B)/sessions-world: $(WOBJS)
	$(CXX) $(SAN) -o $@ $(WOBJS) $(LDLIBS)

$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(@D)
	$(CXX) $(CXXFLAGS) -c -o $@ $<

# A second make reads the package flags only once the packages are there.
check: packages
	@$(MAKE) --no-print-directory -j$$(nproc) $(B)/gypsumcleat $(B)/check \
	    $(B)/sessions-world
	@B=$(B) tests/run.sh

demo: packages
	@$(MAKE) --no-print-directory -j$$(nproc) binary
	@B=$(B) scripts/demo

lint: packages
	@scripts/lint

format:
	clang-format -i $(SRCS) $(HDRS) $(TSRCS) $(WSRCS)

matrix: packages
	@$(MAKE) --no-print-directory -j$$(nproc) $(B)/check
	@B=$(B) scripts/matrix

spec: packages
	@spec/run

measure: packages
	@$(MAKE) --no-print-directory -j$$(nproc) binary
	@B=$(B) scripts/measure

capacity: packages
	@$(MAKE) --no-print-directory -j$$(nproc) binary
	@B=$(B) scripts/capacity

# The unit tests again under the address and undefined-behaviour sanitizers,
# and under the thread sanitizer.
san:
	@$(MAKE) --no-print-directory -j$$(nproc) B=build/san OPT="-O1 -g" \
	    SAN="-fsanitize=address,undefined -fno-sanitize-recover=undefined" \
	    build/san/check build/san/gypsumcleat
tsan:
	@$(MAKE) --no-print-directory -j$$(nproc) B=build/tsan OPT="-O1 -g" \
	    SAN="-fsanitize=thread" build/tsan/check build/tsan/gypsumcleat

clean:
	rm -rf build

-include $(OBJS:.o=.d) $(TOBJS:.o=.d) $(WOBJS:.o=.d)
