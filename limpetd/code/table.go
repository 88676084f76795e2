package code

import "net/http"

// Info describes a code.
type Info struct {
	// Code is the number.
	Code Code
	// Name is the identifier in logs and JSON, in snake case.
	Name string
	// Status is the HTTP status a caller sees.
	Status int
	// Run is the run state of a call that ends with this code unless the
	// error states another.
	Run Run
	// Meaning says what happened.
	Meaning string
	// Remedy says what the reader can do.
	Remedy string
}

// General codes.
const (
	OK       Code = 0
	Internal Code = 1000
	// Stopping means that the daemon is leaving and takes no new work.
	Stopping Code = 1001
	// NoDocument means that the daemon has no environment document yet.
	NoDocument Code = 1002
	// BadSetting means that a flag or environment variable is refused.
	BadSetting Code = 1003
	// DocumentLevel means that the document needs a newer daemon.
	DocumentLevel Code = 1004
	// NoMembers means that the daemon has not seen the VM list yet.
	NoMembers Code = 1005
	// NoReports means that an engine has not reported yet.
	NoReports Code = 1006
)

// Codes of requests.
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
)

// Codes of answers.
const (
	StreamBroken Code = 1300
	AnswerCut    Code = 1301
	EngineError  Code = 1302
	BackendLost  Code = 1303
)

// Codes of claims on keyed calls.
const (
	ClaimStoreDown  Code = 1400
	ClaimInProgress Code = 1401
	ClaimUnknown    Code = 1402
	ClaimMismatch   Code = 1403
	KeyTooLong      Code = 1404
	// ClaimNoAnswer means that the call ran and its answer was not kept.
	ClaimNoAnswer Code = 1405
	// KeyRequired means that the path takes only calls with a key.
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
	DocumentInvalid   Code = 1600
	DocumentConflict  Code = 1601
	DocumentTooLarge  Code = 1602
	DocumentUnfit     Code = 1603
	DocumentNotTried  Code = 1604
	DocumentStoreDown Code = 1605
	DocumentUnknown   Code = 1606
	DocumentNotForce  Code = 1607
	BadOperator       Code = 1608
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

// Codes of memory, orders and placement.
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

// table lists each code once, in the order of the numbers.
var table = []Info{
	{OK, "ok", http.StatusOK, RunYes, "The call succeeded.", "None needed."},
	{Internal, "internal", http.StatusInternalServerError, RunUnknown, "An unexpected fault in limpetlb.", "Look up the request id with `limpet events` and report it."},
	{Stopping, "stopping", http.StatusServiceUnavailable, RunNo, "The daemon is leaving and takes no new work.", "Send the call again; the balancer picks another VM."},
	{NoDocument, "no_document", http.StatusServiceUnavailable, RunNo, "The daemon has no environment document yet.", "Apply a document, or wait until the daemon reaches the table or a peer."},
	{BadSetting, "bad_setting", http.StatusInternalServerError, RunNo, "A flag or environment variable is refused.", "Correct each setting that the message names."},
	{DocumentLevel, "document_level", http.StatusServiceUnavailable, RunNo, "The document in force needs a newer daemon.", "Upgrade the daemons that `limpet status` names."},
	{NoMembers, "no_members", http.StatusServiceUnavailable, RunNo, "The daemon has not seen the VM list yet.", "Check that the platform's VM list answers."},
	{NoReports, "no_reports", http.StatusServiceUnavailable, RunNo, "The daemon started just now and has not seen the load of each engine yet.", "None needed; the daemon is ready within 5 s."},

	{MalformedBody, "malformed_body", http.StatusBadRequest, RunNo, "The body is not the JSON that the call takes.", "Correct the body at the place that the message names."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, RunNo, "The body exceeds the limit.", "Send a shorter body."},
	{BadKey, "bad_key", http.StatusUnauthorized, RunNo, "The key is missing or unknown.", "Send a key of a caller that the document declares."},
	{Forbidden, "forbidden", http.StatusForbidden, RunNo, "The caller may not use this model, priority or path.", "Ask the operator to declare it for the caller."},
	{UnknownModel, "unknown_model", http.StatusNotFound, RunNo, "No declared model or adapter has this name.", "Use a name from `GET /v1/models`."},
	{UnknownPath, "unknown_path", http.StatusNotFound, RunNo, "No declared path matches the call.", "Use a path that the document declares."},
	{SlowCaller, "slow_caller", http.StatusRequestTimeout, RunNo, "The caller sent its request too slowly.", "Send the body without pauses."},
	{CallerGone, "caller_gone", 499, RunUnknown, "The caller closed the connection.", "None needed."},
	{BadParameter, "bad_parameter", http.StatusBadRequest, RunNo, "A parameter is outside its range.", "Correct the parameter that the message names."},
	{BadContentType, "bad_content_type", http.StatusUnsupportedMediaType, RunNo, "The content type is not accepted.", "Send application/json."},
	{UnknownPriority, "unknown_priority", http.StatusBadRequest, RunNo, "The document declares no such priority.", "Use a declared priority."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, RunNo, "The header exceeds the limit.", "Send a shorter header."},

	{CallerLimit, "caller_limit", http.StatusTooManyRequests, RunNo, "The caller is over its limit.", "Wait for the time in Retry-After."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, RunNo, "The queue of this priority is full.", "Wait for the time in Retry-After."},
	{ShedDeadline, "shed_deadline", http.StatusServiceUnavailable, RunNo, "The expectation of the priority cannot be met.", "Wait for the time in Retry-After."},
	{NoEngine, "no_engine", http.StatusServiceUnavailable, RunNo, "No live engine holds the model.", "Wait for the time in Retry-After; see `limpet plan`."},
	{NoBackend, "no_backend", http.StatusServiceUnavailable, RunNo, "No live backend server of the service is known.", "Check the service's VMs."},
	{RetryBudget, "retry_budget", http.StatusServiceUnavailable, RunNo, "The call was not run and the retry budget is spent.", "Wait for the time in Retry-After."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, RunNo, "The backend server could not be reached.", "Send the call again."},

	{StreamBroken, "stream_broken", http.StatusBadGateway, RunYes, "The answer could not be completed.", "Send the request again; discard the part received."},
	{AnswerCut, "answer_cut", http.StatusBadGateway, RunYes, "The engine ended the answer early.", "Send the request again; discard the part received."},
	{EngineError, "engine_error", http.StatusBadGateway, RunYes, "The engine reported a fault.", "Send the request again."},
	{BackendLost, "backend_lost", http.StatusBadGateway, RunUnknown, "The connection to the backend server broke after the call was sent.", "Find out whether the call took effect before sending it again."},

	{ClaimStoreDown, "claim_store_down", http.StatusServiceUnavailable, RunNo, "The claim on a keyed call could not be stored.", "Send the call again with the same key after Retry-After."},
	{ClaimInProgress, "claim_in_progress", http.StatusConflict, RunUnknown, "The first call with this key is still in progress.", "Ask again with the same key after Retry-After."},
	{ClaimUnknown, "claim_unknown", http.StatusConflict, RunUnknown, "The outcome of the first call with this key is not known; it will not be run again.", "Check with the service whether it took effect."},
	{ClaimMismatch, "claim_mismatch", http.StatusUnprocessableEntity, RunNo, "The key was used for a different call.", "Use a new key for each call."},
	{KeyTooLong, "key_too_long", http.StatusBadRequest, RunNo, "The idempotency key is too long.", "Use a key of at most 128 bytes."},
	{ClaimNoAnswer, "claim_no_answer", http.StatusConflict, RunYes, "The first call with this key ran; its answer was too long to be kept.", "Read the outcome from the service."},
	{KeyRequired, "key_required", http.StatusBadRequest, RunNo, "The path takes only calls with an idempotency key.", "Send an Idempotency-Key header."},

	{BatchStoreDown, "batch_store_down", http.StatusServiceUnavailable, RunNo, "The batch could not be stored.", "Send it again after Retry-After."},
	{BatchNotFound, "batch_not_found", http.StatusNotFound, RunNo, "The caller has no batch with this id.", "List the batches with `GET /v1/batches`."},
	{BatchFailed, "batch_failed", http.StatusOK, RunYes, "The batch ended in failure.", "Read its error and submit it again."},
	{BatchEnded, "batch_ended", http.StatusConflict, RunNo, "The batch has ended and cannot be cancelled.", "None needed."},
	{BatchHoldLost, "batch_hold_lost", http.StatusConflict, RunUnknown, "Another daemon took the batch over.", "None needed."},

	{DocumentInvalid, "document_invalid", http.StatusUnprocessableEntity, RunNo, "The environment document is refused.", "Correct each place that the message names."},
	{DocumentConflict, "document_conflict", http.StatusConflict, RunNo, "Another revision was accepted first.", "Rebase on the newer revision and apply again."},
	{DocumentTooLarge, "document_too_large", http.StatusRequestEntityTooLarge, RunNo, "The document exceeds the limit.", "Split the environment or shorten the document."},
	{DocumentUnfit, "document_unfit", http.StatusUnprocessableEntity, RunNo, "The declared models do not fit the accelerators.", "Remove or shrink what the message names, or add engines."},
	{DocumentNotTried, "document_not_tried", http.StatusConflict, RunNo, "The digest is not the one in force in the trial environment.", "Apply it to the trial environment first."},
	{DocumentStoreDown, "document_store_down", http.StatusServiceUnavailable, RunUnknown, "The table did not confirm the document.", "Apply again with the same submission id."},
	{DocumentUnknown, "document_unknown", http.StatusNotFound, RunNo, "No document with this digest or revision is stored.", "Check the digest or revision."},
	{DocumentNotForce, "document_not_in_force", http.StatusGatewayTimeout, RunYes, "The document is accepted but some daemons have not taken it up.", "See `limpet status` for the daemons and their reasons."},
	{BadOperator, "bad_operator", http.StatusUnauthorized, RunNo, "The operator token is missing or unknown.", "Set the operator token."},

	{StoreConflict, "store_conflict", http.StatusConflict, RunNo, "A conditional write found another version.", "Read again and retry."},
	{StoreUnknown, "store_unknown", http.StatusServiceUnavailable, RunUnknown, "The table did not answer a write; it may have taken effect.", "Read again to find out."},
	{StoreDown, "store_down", http.StatusServiceUnavailable, RunNo, "The platform's service cannot be reached.", "See the operators' page on store outages."},
	{StoreLimited, "store_limited", http.StatusTooManyRequests, RunNo, "The platform's service refused the call over its rate.", "Wait and retry."},
	{StoreNotFound, "store_not_found", http.StatusNotFound, RunNo, "The row or object does not exist.", "None needed."},
	{StoreCorrupt, "store_corrupt", http.StatusInternalServerError, RunNo, "A row or object cannot be decoded.", "Restore it; nothing that depends on it is released."},

	{MemoryExceeded, "memory_exceeded", http.StatusConflict, RunNo, "A charge would exceed the memory of the engine.", "None needed; placement chooses again."},
	{LeaseLost, "lease_lost", http.StatusConflict, RunNo, "The placement lease is held by another daemon.", "None needed."},
	{OrderRefused, "order_refused", http.StatusConflict, RunNo, "The engine refused the order.", "See the engine's reason in `limpet events`."},
	{OrderUnknown, "order_unknown", http.StatusGatewayTimeout, RunUnknown, "The engine did not confirm the order.", "None needed; the charge stays until it is resolved."},
	{EngineSetAside, "engine_set_aside", http.StatusServiceUnavailable, RunNo, "The engine's reports contradict themselves; it gets no new orders.", "Check the engine; it returns when its reports are sound."},
	{LedgerLevel, "ledger_level", http.StatusServiceUnavailable, RunNo, "A ledger row needs a newer daemon.", "Upgrade the daemons of this data centre."},
	{LastReplica, "last_replica", http.StatusConflict, RunNo, "The change would give up the last replica of a declared model.", "None needed; another replica is made first."},
	{OrderFailed, "order_failed", http.StatusBadGateway, RunYes, "The engine carried the order out and it failed.", "See the engine's reason in `limpet events`."},

	{PeerDown, "peer_down", http.StatusServiceUnavailable, RunUnknown, "A peer cannot be reached.", "None needed unless it lasts."},
	{PeerUntrusted, "peer_untrusted", http.StatusForbidden, RunNo, "A peer's certificate is not accepted.", "Check the certificates and their authority."},
}

// Table returns all codes in the order of their numbers.
func Table() []Info {
	return append([]Info(nil), table...)
}
