#include <string.h>
#include <strings.h>

#include "base/ba_result.h"
#include "call/cl_team.h"

#define KEY_SCHEME "Bearer "

int cl_team_identify(const struct cf_snapshot *s, const char *field,
		     const struct cf_team **out)
{
	struct ba_digest digest;

	*out = NULL;
	if (!field || strncasecmp(field, KEY_SCHEME, strlen(KEY_SCHEME)) != 0)
		return CL_TEAM_KEY_MISSING;
	field += strlen(KEY_SCHEME);
	field += strspn(field, " ");
	digest = ba_digest(field, strlen(field));
	*out = cf_team_find_key(s, &digest);
	return *out ? BA_OK : CL_TEAM_KEY_UNKNOWN;
}
