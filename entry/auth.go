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

// identity is who makes a call.
type identity struct {
	// account is empty for an operator.
	account  string
	operator bool
}

// HashToken returns the form in which a token stands in manifest and settings.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// identify finds out who holds the token of a call. Every known hash is
// compared, each in constant time.
func (s *Server) identify(r *http.Request) (identity, bool) {
	t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return identity{}, false
	}
	h := []byte(HashToken(t))
	id := identity{operator: subtle.ConstantTimeCompare(h, []byte(s.c.OperatorHash)) == 1}
	if v := s.c.Book.Current(); v != nil {
		for i := range v.Manifest.Accounts {
			a := &v.Manifest.Accounts[i]
			if subtle.ConstantTimeCompare(h, []byte(a.TokenHash)) == 1 {
				id.account = a.Name
			}
		}
	}
	return id, id.operator || id.account != ""
}

// handler serves a call of a known identity.
type handler func(w http.ResponseWriter, r *http.Request, id identity)

// authenticated lets client accounts in, and operators.
func (s *Server) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := s.identify(r)
		if !ok && s.c.Book.Current() == nil {
			// Without a manifest no account's token is known yet.
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
		h(w, r, id)
	}
}

// operatorOnly lets operators in.
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

// accounts lists the accounts for operators, and for an account itself.
func (s *Server) accounts(w http.ResponseWriter, r *http.Request, id identity) {
	account := id.account
	if id.operator {
		account = ""
	}
	s.c.Admin.Accounts(w, r, account)
}

func (s *Server) countRefusal(account, reason string) {
	s.c.Meter.Refusals.WithLabelValues(account, reason).Inc()
}

// jobKey returns the job that a call names. An operator names the account by the
// query parameter Account.
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
