# Flags and rules shared by the library, the programs and the tests.  TOP is
# the root of the tree, set by the including Makefile.

CC ?= gcc
BUILD ?= $(TOP)/build
PKGS := libh2o-evloop msgpack glib-2.0 json-c libsodium openssl libxxhash

# SAN=1 builds everything under build-san with the address and undefined
# behaviour sanitizers.
ifeq ($(SAN),1)
BUILD := $(TOP)/build-san
SANFLAGS := -fsanitize=address,undefined -fno-omit-frame-pointer \
	-fno-sanitize-recover=undefined
endif

# The libraries' headers come in as system headers, so that warnings are
# errors for our own lines only.
PKG_CFLAGS := $(patsubst -I%,-isystem %,$(shell pkg-config --cflags $(PKGS)))
CPPFLAGS := -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -DH2O_USE_EPOLL=1 \
	-I$(TOP)/lib $(CPPFLAGS_EXTRA) $(PKG_CFLAGS)
CFLAGS := -std=gnu11 -O2 -g -Wall -Wextra -Werror -Wshadow \
	-Wstrict-prototypes -Wmissing-prototypes -Wconversion \
	-Wno-sign-conversion -fno-common $(SANFLAGS) $(EXTRA_CFLAGS)
LDFLAGS := $(SANFLAGS)
LDLIBS := $(shell pkg-config --libs $(PKGS)) -lz -lpthread -lm
LIBDH := $(BUILD)/libdragonflyhinge.a
