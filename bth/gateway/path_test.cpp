#include "bth/gateway/gateway.h"

#include <CppUTest/TestHarness.h>
