/*
 * Messages about quotas of teams (call/cl_quota.h) on the wire.
 */
#ifndef DS_QUOTA_H
#define DS_QUOTA_H

#include "call/cl_quota.h"
#include "wire/wi_session.h"

#ifdef __cplusplus
extern "C" {
#endif

/** ds_quota_send_ask() - send a question */
void ds_quota_send_ask(struct wi_session *s, const struct cl_quota_message *m);

/** ds_quota_send_grant() - send the answer to a question */
void ds_quota_send_grant(struct wi_session *s,
			 const struct cl_quota_message *m);

/** ds_quota_read_ask() - decode a question, or return false */
bool ds_quota_read_ask(const struct wi_frame *f, struct cl_quota_message *out);

/**
 * ds_quota_read_grant() - decode an answer, or return false
 *
 * The teams are those of the question and are not set.
 */
bool ds_quota_read_grant(const struct wi_frame *f,
			 struct cl_quota_message *out);

#ifdef __cplusplus
}
#endif
#endif
