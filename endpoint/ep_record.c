#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "endpoint/ep_table.h"
#include "endpoint/ep_wire.h"

static bool has_valid_length(const char *s, bool required);

void ep_record_copy(struct ep_record *to, const struct ep_record *from)
{
	*to = *from;
	to->instance = g_strdup(from->instance);
	to->service = g_strdup(from->service);
	to->data_centre = g_strdup(from->data_centre);
	to->region = g_strdup(from->region);
	to->address = g_strdup(from->address);
	to->external_address = g_strdup(from->external_address);
	to->control_address = g_strdup(from->control_address);
	to->backend = g_strdup(from->backend);
}

void ep_record_clear(struct ep_record *r)
{
	g_free(r->instance);
	g_free(r->service);
	g_free(r->data_centre);
	g_free(r->region);
	g_free(r->address);
	g_free(r->external_address);
	g_free(r->control_address);
	g_free(r->backend);
	memset(r, 0, sizeof(*r));
}

int ep_record_check(const struct ep_record *r)
{
	if (!has_valid_length(r->instance, true) ||
	    !has_valid_length(r->data_centre, true) ||
	    !has_valid_length(r->region, true) ||
	    !has_valid_length(r->service, !r->left) ||
	    !has_valid_length(r->address, !r->left) ||
	    !has_valid_length(r->external_address, false) ||
	    !has_valid_length(r->control_address, false) ||
	    !has_valid_length(r->backend, false))
		return WI_FRAME_GARBAGE;
	return BA_OK;
}

void ep_record_to_message(const struct ep_record *r, EpRecord *m)
{
	ep_record__init(m);
	m->instance = r->instance;
	m->service = r->service;
	m->data_centre = r->data_centre;
	m->region = r->region;
	m->address = r->address;
	if (r->external_address)
		m->external_address = r->external_address;
	if (r->control_address)
		m->control_address = r->control_address;
	if (r->backend)
		m->backend = r->backend;
	m->cold_ms = (uint32_t)(r->cold_time / BA_MS);
	m->incarnation = r->incarnation;
	m->sequence = r->sequence;
	m->draining = r->draining;
	m->left = r->left;
	m->slots = r->slots;
	m->connections = r->connections;
}

void ep_record_from_message(const EpRecord *m, struct ep_record *r)
{
	memset(r, 0, sizeof(*r));
	r->instance = m->instance;
	r->service = m->service;
	r->data_centre = m->data_centre;
	r->region = m->region;
	r->address = m->address;
	r->external_address = m->external_address;
	r->control_address = m->control_address;
	r->backend = m->backend;
	r->cold_time = m->cold_ms * BA_MS;
	r->incarnation = m->incarnation;
	r->sequence = m->sequence;
	r->draining = m->draining;
	r->left = m->left;
	r->slots = m->slots;
	r->connections = m->connections;
}

static bool has_valid_length(const char *s, bool required)
{
	size_t len = s ? strlen(s) : 0;

	return len <= EP_STRING_LIMIT_BYTES && (len || !required);
}
