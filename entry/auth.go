package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"citronbridge/fault"
	"citronbridge/jobs"
	"citronbridge/reply"
)

// identity is the authenticated sender of a request: a client account, an operator, or both.
type identity struct {
	// account is the name of the client account. It is empty if the token belongs to no account.
	account  string
	operator bool
}

// HashToken returns the SHA-256 of a bearer token in hexadecimal. The manifest and the settings
// store tokens in this form.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// identify returns the identity that the bearer token of r belongs to, and whether there is one.
// The hash of the token is compared with every known hash in constant time, so that the duration
// reveals nothing about them.
func (s *Server) identify(r *http.Request) (identity, bool) {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return identity{}, false
	}
	h := []byte(HashToken(t))
	id := identity{operator: subtle.ConstantTimeCompare(h, []byte(s.config.OperatorHash)) == 1}
	if v := s.config.Revisions.Current(); v != nil {
		for i := range v.Manifest.Accounts {
			a := &v.Manifest.Accounts[i]
			if subtle.ConstantTimeCompare(h, []byte(a.TokenHash)) == 1 {
				id.account = a.Name
			}
		}
	}
	return id, id.operator || id.account != ""
}

// handler serves an authenticated request.
type handler func(w http.ResponseWriter, r *http.Request, id identity)

// authenticated wraps h so that it serves only client accounts and operators. Other requests get
// status 401, or 503 while this host has no manifest.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := s.identify(r)
		if !ok && s.config.Revisions.Current() == nil {
			// The manifest holds the token hashes of the accounts, so the token may be valid.
			s.countRefusal("", "NotReady")
			reply.Unavailable(w, "no manifest yet")
			return
		}
		if !ok {
			s.countRefusal("", "Unauthorized")
			w.Header().Set("WWW-Authenticate", "Bearer")
			reply.Error(w, http.StatusUnauthorized, "a bearer token of a client account or an operator is needed")
			return
		}
		s.openLease(w, id.account)
		h(w, r, id)
	}
}

// operatorOnly wraps h so that it serves only operators. Client accounts get status 403.
func (s *Server) operatorOnly(h http.HandlerFunc) http.HandlerFunc {
	return s.authenticated(func(w http.ResponseWriter, r *http.Request, id identity) {
		if !id.operator {
			s.countRefusal(id.account, "Forbidden")
			reply.Error(w, http.StatusForbidden, "an operator's token is needed")
			return
		}
		h(w, r)
	})
}

// accounts lists every account for an operator, and only its own for a client account.
func (s *Server) accounts(w http.ResponseWriter, r *http.Request, id identity) {
	account := id.account
	if id.operator {
		account = ""
	}
	s.config.Admin.Accounts(w, r, account)
}

// countRefusal counts a refused request in the metrics.
func (s *Server) countRefusal(account, reason string) {
	s.config.Meter.Refusals.WithLabelValues(account, reason).Inc()
}

// jobKey returns the key of the job that r names. The account is that of the token, or for an
// operator the query parameter Account. If the key is invalid, jobKey answers with status 400 and
// returns false.
func (s *Server) jobKey(w http.ResponseWriter, r *http.Request, id identity) (jobs.Key, bool) {
	k := jobs.Key{Account: id.account, ID: r.PathValue("id")}
	if id.operator {
		k.Account = r.URL.Query().Get("Account")
	}
	var l fault.List
	l.Check(jobs.ValidName(k.Account), "Account", k.Account, "the name of a client account, as a query parameter")
	l.Check(jobs.ValidID(k.ID), "ID", k.ID, jobs.IDRule)
	if len(l) > 0 {
		reply.BadInput(w, l)
		return k, false
	}
	return k, true
}
