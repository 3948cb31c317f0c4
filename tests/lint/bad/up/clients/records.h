#include "api/api.h"  // upwards: check_includes must find it
