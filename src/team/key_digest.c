#include <sodium.h>

#include "team.h"

/*
 * Unkeyed BLAKE2b-256. API keys are long random strings, so a slow password
 * hash would only add time to every request.
 */
void team_key_digest(const char *key, size_t len, uint8_t digest[CS_DIGEST_LEN])
{
	crypto_generichash(digest, CS_DIGEST_LEN, (const unsigned char *)key,
			   len, NULL, 0);
}
