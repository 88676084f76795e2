package code

import "net/http"

// Info describes a result code.
type Info struct {
	// Code is the number of the code.
	Code Code
	// Name is the name of the code in logs and JSON, in snake case.
	Name string
	// Status is the HTTP status of a response with this code.
	Status int
	// Run is the run state of a call that ends with this code, unless the error
	// carries another one.
	Run RunState
	// Meaning describes what happened.
	Meaning string
	// Remedy describes what the caller or operator can do.
	Remedy string
}

// General codes.
const (
	OK       Code = 0
	Internal Code = 1000
	// Stopping means that the daemon is leaving the fleet and accepts no new calls.
	Stopping Code = 1001
	// NoDocument means that the daemon has no environment document yet.
	NoDocument Code = 1002
	// BadSetting means that a flag or environment variable is invalid.
	BadSetting Code = 1003
	// DocumentLevel means that the document requires a newer daemon release.
	DocumentLevel Code = 1004
	// NoMembers means that the daemon has not received the VM list yet.
	NoMembers Code = 1005
	// NoReports means that the daemon has not received a report from every engine
	// yet.
	NoReports Code = 1006
)

// Codes of requests that are invalid or end early.
const (
	MalformedBody   Code = 1100
	BodyTooLarge    Code = 1101
	BadKey          Code = 1102
	Forbidden       Code = 1103
	UnknownModel    Code = 1104
	UnknownPath     Code = 1105
	SlowCaller      Code = 1106
	CallerGone      Code = 1107
	BadParameter    Code = 1108
	BadContentType  Code = 1109
	UnknownPriority Code = 1110
	HeaderTooLarge  Code = 1111
	// MemoryShort means that the daemon has no memory for the body.
	MemoryShort Code = 1112
)

// Codes of admission and routing.
const (
	CallerLimit   Code = 1200
	QueueFull     Code = 1201
	ShedDeadline  Code = 1202
	NoEngine      Code = 1203
	NoBackend     Code = 1204
	RetryBudget   Code = 1205
	BackendFailed Code = 1206
	// PromptBlocked means that engines have ended under calls with a part of the prompt.
	PromptBlocked Code = 1207
	// StreamVersion means that a stream can't go on at the software version that began it.
	StreamVersion Code = 1208
	// OverQuota means that an organisation has used its quota.
	OverQuota Code = 1209
	// QuotaUnknown means that the daemon can't learn whether the organisation has quota left.
	QuotaUnknown Code = 1210
)

// Codes of calls that fail after they were sent to a backend server.
const (
	StreamBroken Code = 1300
	AnswerCut    Code = 1301
	EngineError  Code = 1302
	BackendLost  Code = 1303
)

// Codes of claims for calls with an idempotency key.
const (
	ClaimStoreDown  Code = 1400
	ClaimInProgress Code = 1401
	ClaimUnknown    Code = 1402
	ClaimMismatch   Code = 1403
	KeyTooLong      Code = 1404
	// ClaimNoAnswer means that the call ran and its response was not stored.
	ClaimNoAnswer Code = 1405
	// KeyRequired means that the path accepts only calls with an idempotency key.
	KeyRequired Code = 1406
)

// Codes of batches.
const (
	BatchStoreDown Code = 1500
	BatchNotFound  Code = 1501
	BatchFailed    Code = 1502
	BatchEnded     Code = 1503
	BatchHoldLost  Code = 1504
)

// Codes of environment documents.
const (
	DocumentInvalid    Code = 1600
	DocumentConflict   Code = 1601
	DocumentTooLarge   Code = 1602
	DocumentUnfit      Code = 1603
	DocumentNotTried   Code = 1604
	DocumentStoreDown  Code = 1605
	DocumentUnknown    Code = 1606
	DocumentNotInForce Code = 1607
	BadOperator        Code = 1608
)

// Codes of the platform's table and object store.
const (
	StoreConflict Code = 1700
	StoreUnknown  Code = 1701
	StoreDown     Code = 1702
	StoreLimited  Code = 1703
	StoreNotFound Code = 1704
	StoreCorrupt  Code = 1705
)

// Codes of engine memory, orders to engines and placement.
const (
	MemoryExceeded Code = 1800
	LeaseLost      Code = 1801
	OrderRefused   Code = 1802
	OrderUnknown   Code = 1803
	EngineSetAside Code = 1804
	LedgerLevel    Code = 1805
	LastReplica    Code = 1806
	OrderFailed    Code = 1807
)

// Codes of peers and membership.
const (
	PeerDown      Code = 1900
	PeerUntrusted Code = 1901
)

// Codes of findings in a configuration.
const (
	ConfigUnknownField   Code = 2000
	ConfigMissingService Code = 2001
	ConfigBadPrefix      Code = 2002
	ConfigOutOfRange     Code = 2003
	ConfigZeroWeights    Code = 2004
	ConfigDuplicate      Code = 2005
	ConfigSharedKey      Code = 2006
	ConfigHiddenRoute    Code = 2010
	ConfigUnusedService  Code = 2011
	ConfigUnservedModel  Code = 2012
	ConfigUnusedKeys     Code = 2013
	// ConfigNoKeys means that routes need keys, and no organisation has one.
	ConfigNoKeys           Code = 2014
	ConfigObjectiveTooLate Code = 2020
	ConfigBurstTooSmall    Code = 2021
	ConfigQuotaTooSmall    Code = 2022
	ConfigBodyOverMemory   Code = 2023
	ConfigCallersRefused   Code = 2030
	ConfigKeysWithdrawn    Code = 2031
	ConfigTrafficMoved     Code = 2032
	ConfigLimitLowered     Code = 2033
	ConfigPriorityLowered  Code = 2034
)

// table lists each code once, in the order of their numbers.
var table = []Info{
	{OK, "ok", http.StatusOK, RunYes, "The call succeeded.", "No action needed."},
	{Internal, "internal", http.StatusInternalServerError, RunUnknown, "An unexpected error in limpetlb.", "Look up the request id with `limpet events` and report the error."},
	{Stopping, "stopping", http.StatusServiceUnavailable, RunNo, "The daemon is leaving the fleet and accepts no new calls.", "Send the call again; the load balancer picks another VM."},
	{NoDocument, "no_document", http.StatusServiceUnavailable, RunNo, "The daemon has no environment document yet.", "Apply a document, or wait until the daemon reaches the table or a peer."},
	{BadSetting, "bad_setting", http.StatusInternalServerError, RunNo, "A flag or environment variable is invalid.", "Correct each setting that the message names."},
	{DocumentLevel, "document_level", http.StatusServiceUnavailable, RunNo, "The document in force requires a newer daemon release.", "Upgrade the daemons for which `limpet status` shows this reason."},
	{NoMembers, "no_members", http.StatusServiceUnavailable, RunNo, "The daemon has not received the VM list yet.", "Check that the platform's VM list is available."},
	{NoReports, "no_reports", http.StatusServiceUnavailable, RunNo, "The daemon has just started and has not received a load report from every engine yet.", "No action needed; the daemon is ready within 5 s."},

	{MalformedBody, "malformed_body", http.StatusBadRequest, RunNo, "The body is not valid JSON for this call.", "Correct the body at the place that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunNo, "The body exceeds the size limit.", "Send a shorter body."},
	{BadKey, "bad_key", http.StatusUnauthorized, RunNo, "The API key is missing or unknown.", "Send the API key of a caller that the document declares."},
	{Forbidden, "forbidden", http.StatusForbidden, RunNo, "The caller may not use this model, priority or path.", "Ask the operator to declare it for the caller."},
	{UnknownModel, "unknown_model", http.StatusNotFound, RunNo, "No declared model or adapter has this name.", "Use a name from `GET /v1/models`."},
	{UnknownPath, "unknown_path", http.StatusNotFound, RunNo, "The call matches no declared path.", "Use a path that the document declares."},
	{SlowCaller, "slow_caller", http.StatusRequestTimeout, RunNo, "The caller sent its request too slowly.", "Send the body without pauses."},
	{CallerGone, "caller_gone", 499, RunUnknown, "The caller closed the connection.", "No action needed."},
	{BadParameter, "bad_parameter", http.StatusBadRequest, RunNo, "A parameter is missing or invalid.", "Correct the parameter that the message names."},
	{BadContentType, "bad_content_type", http.StatusUnsupportedMediaType, RunNo, "The content type is not supported.", "Send application/json."},
	{UnknownPriority, "unknown_priority", http.StatusBadRequest, RunNo, "The document does not declare this priority.", "Use a declared priority."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNo, "The header exceeds the size limit.", "Send a shorter header."},
	{MemoryShort, "memory_short", http.StatusServiceUnavailable, RunNo, "The daemon has no memory for the body of the request.", "Retry after the time in Retry-After; a body that arrives without pauses is admitted first. If it persists, add daemons or memory."},

	{CallerLimit, "caller_limit", http.StatusTooManyRequests, RunNo, "The caller exceeds its rate limit.", "Retry after the time in the Retry-After header."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, RunNo, "The queue of this priority is full.", "Retry after the time in the Retry-After header."},
	{ShedDeadline, "shed_deadline", http.StatusServiceUnavailable, RunNo, "The expected time of the priority or the deadline of the call cannot be met.", "Retry after the time in the Retry-After header."},
	{NoEngine, "no_engine", http.StatusServiceUnavailable, RunNo, "No live engine holds the model.", "Retry after the time in the Retry-After header; `limpet plan` shows the planned loads."},
	{NoBackend, "no_backend", http.StatusServiceUnavailable, RunNo, "No live backend server of the service is known.", "Check the VMs of the service."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, RunNo, "The call was not run, and the retry budget is exhausted.", "Retry after the time in the Retry-After header."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, RunNo, "The backend server could not be reached.", "Send the call again."},
	{PromptBlocked, "prompt_blocked", http.StatusServiceUnavailable, RunNo, "Servers have ended under this request, or under calls with a part of its prompt. The call was not sent.", "Don't send the request again, or send it without that part. It is tried again after the time in the Retry-After header; operators can allow the part with `--allowed-parts`."},
	{StreamVersion, "stream_version", http.StatusServiceUnavailable, RunNo, "The stream began at a version of the engines' software of which no engine can go on with it, or this daemon does not know the version.", "Retry after the time in the Retry-After header, or begin a new stream."},
	{OverQuota, "over_quota", http.StatusTooManyRequests, RunNo, "The organisation has used its quota.", "Retry after the time in the Retry-After header."},
	{QuotaUnknown, "quota_unknown", http.StatusServiceUnavailable, RunNo, "The daemon can't reach the lease holder, which keeps the quotas, and its own share of the organisation's quota is used.", "Retry after the time in the Retry-After header: another daemon may reach the lease holder."},

	{StreamBroken, "stream_broken", http.StatusBadGateway, RunYes, "The response could not be completed.", "Send the request again; discard the part that was received."},
	{AnswerCut, "answer_cut", http.StatusBadGateway, RunYes, "The engine ended the response early.", "Send the request again; discard the part that was received."},
	{EngineError, "engine_error", http.StatusBadGateway, RunYes, "The engine reported an error.", "Send the request again."},
	{BackendLost, "backend_lost", http.StatusBadGateway, RunUnknown, "The connection to the backend server broke after the call was sent.", "Find out whether the call took effect before sending it again."},

	{ClaimStoreDown, "claim_store_down", http.StatusServiceUnavailable, RunNo, "The claim for a call with an idempotency key could not be stored.", "Send the call again with the same key after the time in the Retry-After header."},
	{ClaimInProgress, "claim_in_progress", http.StatusConflict, RunUnknown, "The first call with this key is still in progress.", "Send the call again with the same key after the time in the Retry-After header."},
	{ClaimUnknown, "claim_unknown", http.StatusConflict, RunUnknown, "The outcome of the first call with this key is unknown; the call will not be run again.", "Check with the service whether the call took effect."},
	{ClaimMismatch, "claim_mismatch", http.StatusUnprocessableEntity, RunNo, "The idempotency key was used for a different call.", "Use a new key for each call."},
	{KeyTooLong, "key_too_long", http.StatusBadRequest, RunNo, "The idempotency key is too long.", "Use a key of at most 128 bytes."},
	{ClaimNoAnswer, "claim_no_answer", http.StatusConflict, RunYes, "The first call with this key ran, but its response was too long to be stored.", "Read the outcome from the service."},
	{KeyRequired, "key_required", http.StatusBadRequest, RunNo, "The path accepts only calls with an idempotency key.", "Send an Idempotency-Key header."},

	{BatchStoreDown, "batch_store_down", http.StatusServiceUnavailable, RunNo, "The batch could not be read or stored.", "Send the call again after the time in the Retry-After header."},
	{BatchNotFound, "batch_not_found", http.StatusNotFound, RunNo, "The caller has no batch with this id.", "List the batches with `GET /v1/batches`."},
	{BatchFailed, "batch_failed", http.StatusOK, RunYes, "The batch failed.", "Read the error of the batch and submit the batch again."},
	{BatchEnded, "batch_ended", http.StatusConflict, RunNo, "The batch has ended and cannot be cancelled.", "No action needed."},
	{BatchHoldLost, "batch_hold_lost", http.StatusConflict, RunUnknown, "Another daemon took over the batch.", "No action needed."},

	{DocumentInvalid, "document_invalid", http.StatusUnprocessableEntity, RunNo, "The environment document is invalid.", "Correct each error that the message lists."},
	{DocumentConflict, "document_conflict", http.StatusConflict, RunNo, "Another revision was accepted first.", "Rebase the document on the newer revision and apply it again."},
	{DocumentTooLarge, "document_too_large", http.StatusRequestEntityTooLarge, RunNo, "The document exceeds the size limit.", "Split the environment or shorten the document."},
	{DocumentUnfit, "document_unfit", http.StatusUnprocessableEntity, RunNo, "The declared models do not fit on the accelerators.", "Remove or shrink the models and adapters that the message names, or add engines."},
	{DocumentNotTried, "document_not_tried", http.StatusConflict, RunNo, "The document with this digest is not in force in the trial stage.", "Apply the document to the trial stage first."},
	{DocumentStoreDown, "document_store_down", http.StatusServiceUnavailable, RunUnknown, "The table did not confirm that the document was stored.", "Send the document again with the same submission id."},
	{DocumentUnknown, "document_unknown", http.StatusNotFound, RunNo, "No document with this digest or revision is stored.", "Check the digest or revision."},
	{DocumentNotInForce, "document_not_in_force", http.StatusGatewayTimeout, RunYes, "The document is accepted, but not yet in force on all daemons.", "See `limpet status` for the daemons and their reasons."},
	{BadOperator, "bad_operator", http.StatusUnauthorized, RunNo, "The operator token is missing or unknown.", "Set a valid operator token."},

	{StoreConflict, "store_conflict", http.StatusConflict, RunNo, "A conditional write found a different version.", "Read the row again and retry."},
	{StoreUnknown, "store_unknown", http.StatusServiceUnavailable, RunUnknown, "The table did not answer a write; the write may have taken effect.", "Read the row again to find out."},
	{StoreDown, "store_down", http.StatusServiceUnavailable, RunNo, "The platform service cannot be reached.", "See the operators' page on store outages."},
	{StoreLimited, "store_limited", http.StatusTooManyRequests, RunNo, "The platform service rejected the call because of a rate limit.", "Wait and retry."},
	{StoreNotFound, "store_not_found", http.StatusNotFound, RunNo, "The row or object does not exist.", "No action needed."},
	{StoreCorrupt, "store_corrupt", http.StatusInternalServerError, RunNo, "A row or object cannot be decoded.", "Restore the row or object; nothing that depends on it is released."},

	{MemoryExceeded, "memory_exceeded", http.StatusConflict, RunNo, "A charge in the ledger would exceed the memory of the engine.", "No action needed; placement plans again."},
	{LeaseLost, "lease_lost", http.StatusConflict, RunNo, "Another daemon holds the placement lease.", "No action needed."},
	{OrderRefused, "order_refused", http.StatusConflict, RunNo, "The engine refused the order.", "See `limpet events` for the engine's reason."},
	{OrderUnknown, "order_unknown", http.StatusGatewayTimeout, RunUnknown, "The engine did not confirm the order.", "No action needed; the memory stays charged until the order is resolved."},
	{EngineSetAside, "engine_set_aside", http.StatusServiceUnavailable, RunNo, "The engine's reports are inconsistent; the engine receives no new orders.", "Check the engine; it receives orders again when its reports are consistent."},
	{LedgerLevel, "ledger_level", http.StatusServiceUnavailable, RunNo, "A ledger row requires a newer daemon release.", "Upgrade the daemons of this data centre."},
	{LastReplica, "last_replica", http.StatusConflict, RunNo, "The change would remove the last replica of a declared model.", "No action needed; another replica is loaded first."},
	{OrderFailed, "order_failed", http.StatusBadGateway, RunYes, "The engine carried out the order, and the order failed.", "See `limpet events` for the engine's reason."},

	{PeerDown, "peer_down", http.StatusServiceUnavailable, RunUnknown, "A peer cannot be reached.", "No action needed unless the error persists."},
	{PeerUntrusted, "peer_untrusted", http.StatusForbidden, RunNo, "The certificate of a peer is not accepted.", "Check the certificates and their authority."},

	{ConfigUnknownField, "config_unknown_field", http.StatusUnprocessableEntity, RunNo, "The configuration has a field that is not used.", "Correct the name of the field, or remove it."},
	{ConfigMissingService, "config_missing_service", http.StatusUnprocessableEntity, RunNo, "A route sends calls to a service that the configuration does not have.", "Add the service, or correct its name in the route."},
	{ConfigBadPrefix, "config_bad_prefix", http.StatusUnprocessableEntity, RunNo, "The path prefix of a route does not begin and end with a slash, so that it is not clear which paths match.", "Write the prefix with a slash at its begin and end; it matches whole segments."},
	{ConfigOutOfRange, "config_out_of_range", http.StatusUnprocessableEntity, RunNo, "A value of the configuration is out of its range.", "Set a value in the range."},
	{ConfigZeroWeights, "config_zero_weights", http.StatusUnprocessableEntity, RunNo, "The weights of a route's targets sum to 0, so that all calls go to the last target.", "Set a weight above 0 for at least one target."},
	{ConfigDuplicate, "config_duplicate", http.StatusUnprocessableEntity, RunNo, "Two entries of the configuration have the same name.", "Rename or remove one of them."},
	{ConfigSharedKey, "config_shared_key", http.StatusUnprocessableEntity, RunNo, "Two organisations have the same key. It belongs to the first one.", "Give each organisation keys of its own."},
	{ConfigHiddenRoute, "config_hidden_route", http.StatusUnprocessableEntity, RunNo, "A route can never match.", "Remove the route, or change its host or prefix."},
	{ConfigUnusedService, "config_unused_service", http.StatusUnprocessableEntity, RunNo, "A service receives no calls: each route that names it gives it the weight 0.", "Remove the target, or give it a weight."},
	{ConfigUnservedModel, "config_unserved_model", http.StatusUnprocessableEntity, RunNo, "No call can be answered by a model: no route to engines leads to its service, or it is larger than the memory of an engine.", "Add a route to engines with the service as a target, or remove the model."},
	{ConfigUnusedKeys, "config_unused_keys", http.StatusUnprocessableEntity, RunNo, "Organisations have keys, but all routes are public.", "Remove `public` from the routes that need a key, or remove the keys."},
	{ConfigNoKeys, "config_no_keys", http.StatusUnprocessableEntity, RunNo, "Routes need a key, but no organisation has one, so that all their calls are refused.", "Add a key, make the routes public, or remove the list of organisations."},
	{ConfigObjectiveTooLate, "config_objective_too_late", http.StatusUnprocessableEntity, RunNo, "The objective of a route is longer than its timeout.", "Shorten the objective or lengthen the timeout."},
	{ConfigBurstTooSmall, "config_burst_too_small", http.StatusUnprocessableEntity, RunNo, "The burst of a quota is smaller than one call, so that such a call is always refused.", "Raise the burst to at least one call."},
	{ConfigQuotaTooSmall, "config_quota_too_small", http.StatusUnprocessableEntity, RunNo, "A quota allows less than one call a second that states no tokens.", "Check the unit and the rate."},
	{ConfigBodyOverMemory, "config_body_over_memory", http.StatusUnprocessableEntity, RunNo, "One request body of permitted size is larger than the memory of a daemon.", "Lower the limit of bodies, or give the VM more memory."},
	{ConfigCallersRefused, "config_callers_refused", http.StatusOK, RunNo, "Callers that are served by the other version are refused.", "Check that these callers are gone or have keys."},
	{ConfigKeysWithdrawn, "config_keys_withdrawn", http.StatusOK, RunNo, "Keys of the other version are no longer valid.", "Check that no caller uses these keys."},
	{ConfigTrafficMoved, "config_traffic_moved", http.StatusOK, RunNo, "Calls go to other services than with the other version.", "Check that these services have room."},
	{ConfigLimitLowered, "config_limit_lowered", http.StatusOK, RunNo, "A limit is lower than in the other version.", "Check that callers stay within the limit."},
	{ConfigPriorityLowered, "config_priority_lowered", http.StatusOK, RunNo, "Calls are less urgent than with the other version.", "Check that these callers accept longer waits."},
}

// Table returns all codes in the order of their numbers.
func Table() []Info {
	return append([]Info(nil), table...)
}
