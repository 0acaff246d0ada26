# Builds one program: every .c file of the including folder, and the library.
# The folder sets PROG (and SRCS, where it holds more than one program).

include $(TOP)/mk/common.mk

SRCS ?= $(wildcard *.c)
OBJS := $(SRCS:%.c=$(BUILD)/obj/$(PROG)/%.o) \
	$(EXTRA:%.c=$(BUILD)/obj/%.o)
BIN := $(BUILD)/bin/$(PROG)

all: $(BIN)

$(BIN): $(OBJS) $(LIBDH)
	@mkdir -p $(@D)
	$(CC) $(LDFLAGS) -o $@ $(OBJS) $(LIBDH) $(LDLIBS)

$(BUILD)/obj/$(PROG)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

# Files of other folders, named in EXTRA by their paths from the root.
$(EXTRA:%.c=$(BUILD)/obj/%.o): $(BUILD)/obj/%.o: $(TOP)/%.c
	@mkdir -p $(@D)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -MP -c -o $@ $<

-include $(OBJS:.o=.d)

.PHONY: all
