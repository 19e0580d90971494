#include <string.h>

#include <glib.h>

#include "base/ba_result.h"
#include "endpoint/ep_table.h"
#include "endpoint/ep_wire.h"

static bool has_valid_length(const char *s, bool required);
static enum ep_state state_from_message(EpBackendState state);
static void marks_to_message(const struct ep_record *r, EpRecord *m);
static void marks_from_message(const EpRecord *m, struct ep_mark *marks,
			       struct ep_record *r);

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
	to->version = g_strdup(from->version);
	to->marks =
		g_memdup2(from->marks, from->n_marks * sizeof(struct ep_mark));
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
	g_free(r->version);
	g_free(r->marks);
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
	    !has_valid_length(r->backend, false) ||
	    !has_valid_length(r->version, false) || r->n_marks > EP_MARKS_MAX)
		return WI_FRAME_GARBAGE;
	return BA_OK;
}

void ep_record_to_message(const struct ep_record *r, ba_time now, EpRecord *m)
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
	if (r->version)
		m->backend_version = r->version;
	m->backend_start_ms = r->backend_start_wall_ms;
	m->backend_sequence = r->backend_sequence;
	m->backend_state = (EpBackendState)r->backend_state;
	m->cold_ms = (uint32_t)(r->cold_time / BA_MS);
	m->incarnation = r->incarnation;
	m->sequence = r->sequence;
	m->draining = r->draining;
	m->left = r->left;
	m->slots = r->slots;
	m->connections = r->connections;
	if (r->left && r->lease_deadline)
		m->left_ms = (uint32_t)(CLAMP(now + EP_TOMBSTONE_TIME -
						      r->lease_deadline,
					      0, EP_TOMBSTONE_TIME) /
					BA_MS);
	if (r->n_marks)
		marks_to_message(r, m);
}

void ep_message_clear(EpRecord *m)
{
	g_free(m->marks);
	m->marks = NULL;
	m->n_marks = 0;
}

void ep_record_from_message(const EpRecord *m, ba_time now,
			    struct ep_mark *marks, struct ep_record *r)
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
	r->version = m->backend_version;
	r->backend_start_wall_ms = m->backend_start_ms;
	r->backend_sequence = m->backend_sequence;
	r->backend_state = state_from_message(m->backend_state);
	r->cold_time = m->cold_ms * BA_MS;
	r->incarnation = m->incarnation;
	r->sequence = m->sequence;
	r->draining = m->draining;
	r->left = m->left;
	r->slots = m->slots;
	r->connections = m->connections;
	if (r->left)
		r->lease_deadline = now + EP_TOMBSTONE_TIME -
				    MIN(m->left_ms * BA_MS, EP_TOMBSTONE_TIME);
	if (m->n_marks)
		marks_from_message(m, marks, r);
}

/* A state that only a newer program knows comes after those known here. */
static enum ep_state state_from_message(EpBackendState state)
{
	switch (state) {
	case EP_BACKEND_STATE__EP_BACKEND_SERVES:
		return EP_SERVES;
	case EP_BACKEND_STATE__EP_BACKEND_DRAINS:
		return EP_DRAINS;
	default:
		return EP_HAS_LEFT;
	}
}

/* The marks and the pointers to them are one allocation. */
static void marks_to_message(const struct ep_record *r, EpRecord *m)
{
	size_t n = r->n_marks;
	EpMark *list;

	m->marks = g_malloc(n * (sizeof(EpMark *) + sizeof(EpMark)));
	m->n_marks = n;
	m->marks_epoch = r->marks_epoch;
	list = (EpMark *)(m->marks + n);
	for (size_t i = 0; i < n; i++) {
		ep_mark__init(&list[i]);
		list[i].request = r->marks[i].request;
		list[i].crashes = r->marks[i].crashes;
		list[i].acquittals = r->marks[i].acquittals;
		list[i].convicted = r->marks[i].convicted;
		m->marks[i] = &list[i];
	}
}

static void marks_from_message(const EpRecord *m, struct ep_mark *marks,
			       struct ep_record *r)
{
	r->marks = marks;
	r->n_marks = MIN(m->n_marks, (size_t)EP_MARKS_MAX);
	r->marks_epoch = m->marks_epoch;
	for (size_t i = 0; i < r->n_marks; i++) {
		marks[i].request = m->marks[i]->request;
		marks[i].crashes = m->marks[i]->crashes;
		marks[i].acquittals = m->marks[i]->acquittals;
		marks[i].convicted = m->marks[i]->convicted;
	}
}

static bool has_valid_length(const char *s, bool required)
{
	size_t len = s ? strlen(s) : 0;

	return len <= EP_STRING_LIMIT_BYTES && (len || !required);
}
