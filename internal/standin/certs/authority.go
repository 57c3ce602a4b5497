// Package certs creates a certificate authority and certificates for tests and
// demos.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/pkg/errors"
)

// Validity is how long a certificate is valid.
const Validity = 30 * 24 * time.Hour

// clockSkew is how long before its creation a certificate is already valid, for
// hosts whose clocks are behind.
const clockSkew = time.Hour

// serialBits is the size of a certificate's serial number in bits.
const serialBits = 128

// Types of PEM blocks.
const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
)

// Pair is a certificate and its private key as PEM text.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority issues certificates.
type Authority struct {
	Pair
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an Authority with a new key.
func NewAuthority() (*Authority, error) {
	template := newTemplate("wasabigate test authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	pair, err := sign(template, nil)
	if err != nil {
		return nil, err
	}
	return ParseAuthority(pair)
}

// ParseAuthority returns the Authority of a certificate and key.
func ParseAuthority(pair Pair) (*Authority, error) {
	certificateBlock, _ := pem.Decode(pair.Certificate)
	keyBlock, _ := pem.Decode(pair.Key)
	if certificateBlock == nil || keyBlock == nil {
		return nil, errors.New("authority: no PEM text")
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("authority: key of type %T", parsed)
	}
	return &Authority{Pair: pair, certificate: certificate, key: key}, nil
}

// Issue creates a certificate for both sides of a connection, valid for the
// given host names and IP addresses.
func (a *Authority) Issue(name string, hosts []string) (Pair, error) {
	template := newTemplate(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
		} else {
			template.DNSNames = append(template.DNSNames, host)
		}
	}
	return sign(template, a)
}

func newTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		Subject:   pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew),
		NotAfter:  now.Add(Validity),
	}
}

// sign creates a key and its certificate, signed by issuer, or self-signed if
// issuer is nil.
func sign(template *x509.Certificate, issuer *Authority) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Pair{}, errors.Wrap(err, "serial number")
	}
	parent, signer := template, key
	if issuer != nil {
		parent, signer = issuer.certificate, issuer.key
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "certificate")
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: certificate}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: encoded}),
	}, nil
}
