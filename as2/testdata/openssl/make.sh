#!/bin/sh
# Makes the messages of this folder with the openssl command (3.0.19 made those that are committed). The keys are for
# tests alone.
set -eu
cd "$(dirname "$0")"
for who in us bank; do
  openssl req -x509 -newkey rsa:2048 -nodes -keyout $who.key -out $who.pem -days 36500 -subj "/CN=$who"
done
openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:prime256v1 -nodes -keyout ec.key -out ec.pem -days 36500 -subj "/CN=ec"
printf 'Content-Type: application/edi-x12\r\n\r\nISA*00*TEST~\r\n' > part
for md in sha1 sha256 sha384 sha512; do
  openssl cms -sign -binary -md $md -in part -signer us.pem -inkey us.key -outform SMIME -out signed-$md.eml
done
openssl cms -sign -binary -md sha256 -in part -signer ec.pem -inkey ec.key -outform SMIME -out signed-ec.eml
for cipher in aes128 aes256 des3; do
  openssl cms -encrypt -binary -$cipher -in signed-sha256.eml -outform DER -out sealed-$cipher.der bank.pem
done
# What streams has indefinite lengths.
openssl cms -encrypt -binary -stream -aes256 -in signed-sha256.eml -outform DER -out sealed-stream.der bank.pem
printf 'Content-Type: multipart/report; report-type=disposition-notification; boundary="r"\r\n\r\n--r\r\nContent-Type: text/plain\r\n\r\nTaken.\r\n--r\r\nContent-Type: message/disposition-notification\r\n\r\nReporting-UA: openssl\r\nOriginal-Recipient: rfc822; us\r\nFinal-Recipient: rfc822; us\r\nOriginal-Message-ID: <payout-1@us>\r\nReceived-content-MIC: %s, sha-256\r\nDisposition: automatic-action/MDN-sent-automatically; processed\r\n\r\n--r--\r\n' "$(openssl dgst -sha256 -binary part | openssl base64)" > report
openssl cms -sign -binary -md sha256 -in report -signer bank.pem -inkey bank.key -outform SMIME -out receipt.eml
